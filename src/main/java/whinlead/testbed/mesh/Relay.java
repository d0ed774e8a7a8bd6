package whinlead.testbed.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The way from one process to another, on loopback: what dials its address is connected to the other. Each of its
 * directions has a mode of its own. Bytes are never changed, lost or put out of order, as TCP doesn't either. Its state
 * is its loop's; the methods may be called from any other thread, and return once done.
 */
public final class Relay implements AutoCloseable {
    /** A direction. */
    public enum Way {
        /** From who dials to whom it dials. */
        THERE,
        /** And back. */
        BACK
    }

    /** What becomes of what is sent. */
    public enum Mode {
        /** It passes. */
        OPEN,
        /** Nothing is read, closed or accepted: as if no packet came through. */
        CUT,
        /** It is taken and kept, and passes all at once when the way is open again. */
        HELD,
        /** Connections break, and so does each new one. */
        RESET
    }

    /** Of loopback, but no process of a mesh: its ports are alike on all, and could be one of a relay's. */
    private static final String HOST = "127.0.1.1";
    /** Kept for one direction of a connection at most, in bytes; what is more waits with its sender. */
    private static final int MAX_KEPT = 1 << 20;
    /** Connections at a time; more are reset. */
    private static final int MAX_PAIRS = 64;

    private static final int CONNECT_MS = 800;
    /** With a queue of one, Linux holds two connections that nobody accepts, and drops what dials then. */
    private static final int BACKLOG = 1;

    private static final int FILL = BACKLOG + 2;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Channel listener;
    private final Map<Way, Mode> modes = new EnumMap<>(Way.class);
    private final Set<Pair> pairs = new LinkedHashSet<>();
    /** While it is cut these fill the queue, so that a dial gets no answer at all. */
    private final List<SocketChannel> fill = new ArrayList<>();

    private final Set<SocketAddress> filled = new LinkedHashSet<>();

    /** A way to this address that is open and listens at {@link #address()}. */
    public Relay(EventLoop loop, InetSocketAddress to) {
        this.loop = loop;
        this.to = to;
        modes.put(Way.THERE, Mode.OPEN);
        modes.put(Way.BACK, Mode.OPEN);
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        accepted(near);
                    }
                })
                .bind(new InetSocketAddress(HOST, 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Puts a direction into a mode. */
    public void set(Way way, Mode mode) {
        loop.submit(() -> {
                    modes.put(way, mode);
                    if (mode == Mode.RESET) {
                        resetAll();
                    }
                    boolean cut = modes.containsValue(Mode.CUT);
                    listener.config().setAutoRead(!cut);
                    if (cut) {
                        fillQueue();
                    } else {
                        emptyQueue();
                    }
                    List.copyOf(pairs).forEach(Pair::pump);
                })
                .syncUninterruptibly();
    }

    /** Puts both directions into a mode. */
    public void set(Mode mode) {
        set(Way.THERE, mode);
        set(Way.BACK, mode);
    }

    /** Breaks the connections that there are; new ones are taken as before. */
    public void reset() {
        loop.submit(this::resetAll).syncUninterruptibly();
    }

    private void resetAll() {
        List.copyOf(pairs).forEach(Pair::reset);
    }

    private void fillQueue() {
        if (!fill.isEmpty()) {
            return;
        }
        try {
            for (int i = 0; i < FILL; i++) {
                SocketChannel c = SocketChannel.open();
                c.configureBlocking(false);
                // Bound first: its address is not known else before it is connected.
                c.bind(new InetSocketAddress(HOST, 0));
                filled.add(c.getLocalAddress());
                fill.add(c);
                c.connect(listener.localAddress());
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a relay's queue can't be filled", e);
        }
    }

    private void emptyQueue() {
        try {
            for (SocketChannel c : fill) {
                c.close();
            }
            fill.clear();
        } catch (IOException e) {
            throw new UncheckedIOException("a relay's queue can't be emptied", e);
        }
    }

    private void accepted(Channel near) {
        if (filled.remove(near.remoteAddress())) {
            near.close();
        } else if (modes.containsValue(Mode.RESET) || pairs.size() >= MAX_PAIRS) {
            reset(near);
        } else {
            Pair pair = new Pair(near);
            pairs.add(pair);
            near.pipeline().addLast(pair.there);
            // Once it is registered: reading begins then.
            loop.execute(pair::pump);
        }
    }

    private static void reset(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
                    listener.close();
                    emptyQueue();
                    resetAll();
                })
                .syncUninterruptibly();
    }

    /** A connection to this relay, and its own onward. */
    private final class Pair {
        private final Channel near;
        private final Half there = new Half(this, Way.THERE);
        private final Half back = new Half(this, Way.BACK);
        private Channel far;
        private boolean dialled;

        private Pair(Channel near) {
            this.near = near;
        }

        private void pump() {
            if (!dialled && modes.get(Way.THERE) == Mode.OPEN) {
                dial();
            }
            there.pump(near, far);
            back.pump(far, near);
            if (there.over && back.over) {
                pairs.remove(this);
            }
        }

        private void dial() {
            dialled = true;
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(back)
                    .connect(to)
                    .addListener((ChannelFutureListener) done -> {
                        if (done.isSuccess()) {
                            far = done.channel();
                            pump();
                        } else {
                            reset();
                        }
                    });
        }

        private void reset() {
            pairs.remove(this);
            there.drop();
            back.drop();
            Relay.reset(near);
            if (far != null) {
                Relay.reset(far);
            }
        }
    }

    /** One direction of it. */
    private final class Half extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final Way way;
        private final ArrayDeque<ByteBuf> kept = new ArrayDeque<>();
        private long keptBytes;
        private boolean ended;
        private boolean over;

        private Half(Pair pair, Way way) {
            this.pair = pair;
            this.way = way;
        }

        private void pump(Channel from, Channel into) {
            Mode mode = modes.get(way);
            boolean passes = mode == Mode.OPEN && into != null;
            while (passes && !kept.isEmpty()) {
                into.write(kept.poll());
            }
            if (passes) {
                keptBytes = 0;
                into.flush();
            }
            if (passes && ended && !over) {
                over = true;
                into.writeAndFlush(into.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE);
            }
            if (from != null) {
                from.config().setAutoRead(mode != Mode.CUT && keptBytes < MAX_KEPT);
            }
        }

        private void drop() {
            kept.forEach(ByteBuf::release);
            kept.clear();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            kept.add((ByteBuf) bytes);
            keptBytes += ((ByteBuf) bytes).readableBytes();
            pair.pump();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended = true;
            pair.pump();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable fault) {
            ctx.close();
        }
    }
}
