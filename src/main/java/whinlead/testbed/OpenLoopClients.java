package whinlead.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;
import whinlead.Contract;
import whinlead.plan.Arrival;

/**
 * Open-loop clients of one sidecar on a loopback socket: arrivals are drawn ahead and wait for no answer, each goes out
 * on an idle connection or a new one, and a try's time counts from its drawn arrival. Owned by the timer's loop.
 */
final class OpenLoopClients {
    private static final int MAX_BODY = 64 * 1024;
    private static final double MILLIS = 1000;
    /** Arrivals are sent in steps of so much time. */
    private static final double STEP_MS = 1;
    /**
     * The load rises evenly for so long: stand-ins that are not compiled yet would hold arrivals back and send them as
     * one burst on hundreds of new connections, more than a sidecar's descriptors allow.
     */
    private static final double RAMP_MS = 1000;
    /** Connections at once; a sidecar with 1,024 descriptors holds 448 of clients and closes ones beyond. */
    private static final int MAX_CONNECTIONS = 256;

    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    /** A sidecar's answer may be so much late before the rule is broken: 20 ms, and 50 ms for sockets. */
    private static final double MAX_LATE_MS = 70;

    private static final class Source {
        final Load load;
        double next;

        Source(Load load) {
            this.load = load;
        }
    }

    private record Try(long id, Load load, int tries, double deadline) {}

    private final InetSocketAddress sidecar;
    private final List<Contract.RequestClass> classes;
    private final LoopTimer timer;
    private final Ledger ledger;
    private final Random dice;
    private final double length;
    private final List<Source> sources;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Bootstrap bootstrap;
    private final ArrayDeque<Try> waiting = new ArrayDeque<>();
    private final long idStep;
    private long nextId;
    private int open;
    private int connections;

    OpenLoopClients(
            InetSocketAddress sidecar,
            List<Contract.RequestClass> classes,
            List<Load> loads,
            double length,
            LoopTimer timer,
            Ledger ledger,
            long seed) {
        this(sidecar, classes, loads, length, timer, ledger, seed, 0, 1);
    }

    /** Those of one sidecar of several, whose ids begin with {@code first} and go up by {@code step}. */
    OpenLoopClients(
            InetSocketAddress sidecar,
            List<Contract.RequestClass> classes,
            List<Load> loads,
            double length,
            LoopTimer timer,
            Ledger ledger,
            long seed,
            long first,
            long step) {
        this.nextId = first;
        this.idStep = step;
        this.sidecar = sidecar;
        this.classes = classes;
        this.timer = timer;
        this.ledger = ledger;
        this.length = length;
        this.dice = new Random(seed);
        this.sources = loads.stream().map(Source::new).toList();
        this.bootstrap = new Bootstrap().group(timer.loop()).channel(NioSocketChannel.class);
    }

    /** Begins to ask. */
    void run() {
        sources.forEach(s -> s.next = timer.nowMs() + gap(s.load));
        step();
    }

    /**
     * Asks what a captured or drawn load says, besides its own loads, each at its time whatever has become of those
     * before; a try's time counts from there.
     */
    void follow(Iterator<Arrival> arrivals, Habit habit) {
        List<Load> kinds = IntStream.range(0, classes.size())
                .mapToObj(k -> Load.steady(k, 0, habit))
                .toList();
        follow(arrivals, kinds, null);
    }

    private void follow(Iterator<Arrival> arrivals, List<Load> kinds, Arrival due) {
        Arrival next = due;
        while (next == null || next.atMs() <= timer.nowMs()) {
            if (next != null) {
                ask(kinds.get(next.kind()), 1, next.atMs());
            }
            if (!arrivals.hasNext()) {
                return;
            }
            next = arrivals.next();
        }
        Arrival ahead = next;
        timer.at(next.atMs(), () -> follow(arrivals, kinds, ahead));
    }

    /** Tries that have not ended. */
    int open() {
        return open;
    }

    /** One more arrives now, beside the loads that it was made with. */
    void request(Load load) {
        ask(load, 1, timer.nowMs());
    }

    private double gap(Load load) {
        return -Math.log(1 - dice.nextDouble()) * MILLIS / load.most();
    }

    private void step() {
        double now = timer.nowMs();
        for (Source s : sources) {
            for (; s.next <= now && s.next < length; s.next += gap(s.load)) {
                double due = s.load.perSecond().at(s.next) * Math.min(1, s.next / RAMP_MS);
                if (dice.nextDouble() * s.load.most() < due) {
                    ask(s.load, 1, s.next);
                }
            }
        }
        if (now < length) {
            timer.at(now + STEP_MS, this::step);
        }
    }

    private void ask(Load load, int tries, double at) {
        Contract.RequestClass k = classes.get(load.classIndex());
        Try t = new Try(nextId, load, tries, at + k.deadline());
        nextId += idStep;
        open++;
        ledger.asked(t.id(), load.classIndex(), at, t.deadline() + MAX_LATE_MS);
        Connection c = idle.pollLast();
        while (c != null && !c.channel.isActive()) {
            c = idle.pollLast();
        }
        if (c != null) {
            c.send(t);
        } else if (connections < MAX_CONNECTIONS) {
            connect(t);
        } else {
            waiting.addLast(t);
        }
    }

    // The next try that waits for a connection; one whose time is up there was never asked of the sidecar.
    private Try nextWaiting() {
        Try t = waiting.pollFirst();
        while (t != null && t.deadline() <= timer.nowMs()) {
            open--;
            ledger.ended(t.id(), Ledger.End.FAILED, t.deadline());
            t = waiting.pollFirst();
        }
        return t;
    }

    private void connect(Try t) {
        Connection c = new Connection();
        connections++;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY), c);
                    }
                })
                .connect(sidecar);
        c.channel = connecting.channel();
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                c.opened = true;
                c.send(t);
            } else {
                connections--;
                end(t, Ledger.End.FAILED, 0);
            }
        });
    }

    private void end(Try t, Ledger.End end, double retryAfter) {
        open--;
        ledger.ended(t.id(), end, timer.nowMs());
        double wait = end == Ledger.End.SERVED ? Double.NaN : t.load().habit().wait(t.tries(), retryAfter, dice);
        if (!Double.isNaN(wait)) {
            timer.at(timer.nowMs() + wait, () -> ask(t.load(), t.tries() + 1, timer.nowMs()));
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private Try current;
        private boolean opened;
        private boolean kept;

        private void send(Try t) {
            current = t;
            Contract.RequestClass k = classes.get(t.load().classIndex());
            boolean safe = k.effect() == Contract.Effect.SAFE;
            FullHttpRequest r = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api?obj=" + t.id(),
                    Unpooled.EMPTY_BUFFER);
            double left = Math.max(1, t.deadline() - timer.nowMs());
            r.headers()
                    .set(HttpHeaderNames.HOST, "origin.svc")
                    .set("Request-Id", Long.toString(t.id()))
                    .set("Request-Class", k.name())
                    .set("Request-Timeout", String.format(Locale.ROOT, "%.3f", left / MILLIS));
            if (!safe) {
                r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            }
            channel.writeAndFlush(r, channel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Try t = current;
            current = null;
            if (t == null) {
                // An answer that nobody asked for.
                ctx.close();
                return;
            }
            boolean keep = HttpUtil.isKeepAlive(response);
            int status = response.status().code();
            boolean refused = status == UNAVAILABLE || status == TOO_MANY;
            String after = response.headers().get(HttpHeaderNames.RETRY_AFTER, "0");
            end(
                    t,
                    status == OK ? Ledger.End.SERVED : refused ? Ledger.End.REFUSED : Ledger.End.FAILED,
                    Double.parseDouble(after) * MILLIS);
            if (keep) {
                kept = true;
                Try next = nextWaiting();
                if (next == null) {
                    idle.addLast(this);
                } else {
                    send(next);
                }
            }
        }

        // A kept connection may be closed as the request crosses it: that is asked once more, on a new one.
        // What was asked on a new connection stays open in the ledger, as lost.
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            Try t = current;
            current = null;
            if (!opened) {
                return;
            }
            connections--;
            Try next = nextWaiting();
            if (next != null) {
                connect(next);
            }
            if (t != null && kept) {
                connect(t);
            } else if (t != null) {
                open--;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
