package whinlead.mesh.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.mesh.wire.PeerMessage;

/**
 * Connections to the endpoint beside this sidecar, and what became of a request there: has run, may have run, has not.
 * An answer is passed on only when it is whole and this request's own. On its loop's thread.
 */
public final class EndpointConnections {
    /** The largest answer that is held, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private static final int CONNECT_TIMEOUT_MS = 800;
    /** How long after its time an endpoint's own 504 may still come. */
    private static final int TIMEOUT_SLACK_MS = 10;
    /** Of the idle time that the endpoint keeps a connection, the part in which it is used again. */
    private static final double IDLE_PART = 0.6;
    /** The idle time where the endpoint tells none, in milliseconds. */
    private static final double DEFAULT_IDLE_MS = 4000;
    /** Requests of one connection whose ids are remembered. */
    private static final int MAX_REMEMBERED_IDS = 64;

    /** Makes a connection to the endpoint with these handlers on it. */
    public interface Connector {
        /** Begins to; who listens to the future is told before the channel is said to be active. */
        ChannelFuture connect(ChannelHandler handlers);
    }

    private final Timers timers;
    private final Connector connector;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private double idleMs = DEFAULT_IDLE_MS;

    EndpointConnections(EventLoop loop, SocketAddress address) {
        this(
                new LoopTimers(loop, new Clock()),
                handlers -> new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                        .handler(handlers)
                        .connect(address));
    }

    /** Connections by these timers, on whose thread all of it runs. */
    public EndpointConnections(Timers timers, Connector connector) {
        this.timers = timers;
        this.connector = connector;
    }

    /** A request that was sent, whose client may leave. */
    @FunctionalInterface
    public interface Sent {
        /**
         * Has it not written if it waits for a connection. Without effect once it has ended.
         *
         * @param whileRunning whether its connection is closed if it has been written, which ends it at most endpoints
         */
        void cancel(boolean whileRunning);
    }

    /**
     * Sends a request, at most once; {@code done} gets the answer, a {@link PeerMessage.ForwardResponse} or
     * {@link PeerMessage.ForwardFailure} with no figures of load, once, also if it is cancelled.
     *
     * @param instance the endpoint's id, which every other endpoint turns away; empty where none is known
     */
    public Sent send(PeerMessage.ForwardRequest forwardRequest, String instance, Consumer<PeerMessage> done) {
        double until = timers.now() + forwardRequest.leftMs();
        String attempt = EndpointRequestEncoder.attemptId(forwardRequest);
        Connection connection = idle(attempt);
        if (connection != null) {
            connection.start(forwardRequest, attempt, until, instance, done);
            return whileRunning -> connection.cancel(forwardRequest, whileRunning);
        }
        Connection made = new Connection();
        made.forwardRequest = forwardRequest;
        connector
                .connect(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), made);
                    }
                })
                .addListener(f -> {
                    if (f.isSuccess()) {
                        made.start(forwardRequest, attempt, made.forwardRequest == null ? 0 : until, instance, done);
                    } else {
                        done.accept(new PeerMessage.ForwardFailure(
                                forwardRequest.stream(), PeerMessage.FailureReason.UNREACHED, 0, 0));
                    }
                });
        return whileRunning -> made.cancel(forwardRequest, whileRunning);
    }

    // The one that was used last of those that are still good, but none that was asked under this id before:
    // a late answer to that would be taken for the answer to this.
    private Connection idle(String attempt) {
        List<Connection> passed = new ArrayList<>();
        Connection found = null;
        while (found == null && !idle.isEmpty()) {
            Connection connection = idle.pollLast();
            if (!connection.usable()) {
                connection.close();
            } else if (connection.asked.contains(attempt)) {
                passed.add(connection);
            } else {
                found = connection;
            }
        }
        for (int i = passed.size() - 1; i >= 0; i--) {
            idle.addLast(passed.get(i));
        }
        return found;
    }

    /** Closes connections that have been idle for too long to be used again. */
    void tick() {
        while (!idle.isEmpty() && !idle.peekFirst().usable()) {
            idle.pollFirst().close();
        }
    }

    /** Closes all that are idle: the endpoint has left. */
    void clear() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private PeerMessage.ForwardRequest forwardRequest;
        private String attempt;
        private Consumer<PeerMessage> done;
        private Timers.Timer timer;
        private HttpResponse head;
        private boolean ours;
        private boolean interim;
        private boolean writing;
        private ByteBuf body;
        private double idleSince;
        private final Set<String> asked = new LinkedHashSet<>();

        // Not when it is active: who waits for the connect is told before that.
        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        boolean usable() {
            return channel.isActive() && timers.now() - idleSince < idleMs * IDLE_PART;
        }

        void close() {
            channel.close();
        }

        // While it connects it has no one to tell yet, and does without its request from then on.
        void cancel(PeerMessage.ForwardRequest sent, boolean whileRunning) {
            if (forwardRequest == sent && done == null) {
                forwardRequest = null;
            } else if (forwardRequest == sent && whileRunning) {
                fail(PeerMessage.FailureReason.BROKEN);
            }
        }

        void start(
                PeerMessage.ForwardRequest sent,
                String id,
                double until,
                String instance,
                Consumer<PeerMessage> whenDone) {
            forwardRequest = sent;
            attempt = id;
            done = whenDone;
            double left = until - timers.now();
            if (channel == null || !channel.isActive() || left < 1) {
                // Nothing was written. Its time may have gone by while this connection was being made.
                boolean sound = channel != null && channel.isActive();
                end(PeerMessage.FailureReason.UNREACHED);
                if (sound) {
                    reusable();
                }
                return;
            }
            remember(id);
            FullHttpRequest request;
            try {
                request = EndpointRequestEncoder.encode(sent, left, instance);
            } catch (IllegalArgumentException e) {
                // Nothing goes out of what is no request; it must not end the connection that it came by, either.
                end(PeerMessage.FailureReason.UNREACHED);
                channel.close();
                return;
            }
            timer = timers.after(left + TIMEOUT_SLACK_MS, () -> fail(PeerMessage.FailureReason.LATE));
            writing = true;
            channel.writeAndFlush(request).addListener(f -> written(f.isSuccess()));
        }

        // An endpoint may have answered before this, and reads the rest of a long body only later.
        private void written(boolean whole) {
            writing = false;
            if (!whole) {
                fail(PeerMessage.FailureReason.BROKEN);
            } else if (forwardRequest == null && channel.isActive()) {
                timer.cancel();
                reusable();
            }
        }

        private void remember(String id) {
            if (id != null && asked.add(id) && asked.size() > MAX_REMEMBERED_IDS) {
                asked.remove(asked.iterator().next());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof HttpObject o && o.decoderResult().isFailure()) {
                    fail(PeerMessage.FailureReason.BROKEN);
                    return;
                }
                if (message instanceof HttpResponse r) {
                    interim = HttpStatusClass.INFORMATIONAL == r.status().codeClass();
                    if (!interim) {
                        begin(r);
                    }
                }
                if (message instanceof HttpContent c && !interim && head != null) {
                    more(c);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        // An answer to an earlier request may come late, in the place of the next: its id tells it.
        private void begin(HttpResponse r) {
            head = r;
            ours = done != null && attempt != null && attempt.equals(r.headers().get(ForwardedHeaders.ATTEMPT));
            body = Unpooled.buffer(256);
            if (!ResponseValidator.isFramed(r)) {
                // Its end could not be told, or its body is not the endpoint's.
                fail(PeerMessage.FailureReason.BROKEN);
            }
        }

        private void more(HttpContent c) {
            if (body.readableBytes() + c.content().readableBytes() > MAX_RESPONSE_BYTES) {
                fail(PeerMessage.FailureReason.BROKEN);
                return;
            }
            body.writeBytes(c.content());
            if (c instanceof LastHttpContent) {
                whole();
            }
        }

        private void whole() {
            HttpResponse answer = head;
            byte[] bytes = ByteBufUtil.getBytes(body);
            head = null;
            body = null;
            if (!ours) {
                if (done == null && answer.headers().get(ForwardedHeaders.ATTEMPT) == null) {
                    channel.close();
                }
                return;
            }
            boolean keep =
                    HttpUtil.isKeepAlive(answer) && !HttpMethod.CONNECT.name().equals(forwardRequest.method());
            idleMs = ResponseValidator.idleMs(answer, idleMs, DEFAULT_IDLE_MS);
            PeerMessage.FailureReason why = ResponseValidator.reject(answer);
            Consumer<PeerMessage> tell = done;
            PeerMessage.ForwardRequest told = forwardRequest;
            rest(keep);
            if (why != null) {
                tell.accept(new PeerMessage.ForwardFailure(told.stream(), why, 0, 0));
            } else {
                tell.accept(new PeerMessage.ForwardResponse(
                        told.stream(),
                        answer.status().code(),
                        ForwardedHeaders.onward(answer.headers(), false),
                        bytes,
                        0,
                        0));
            }
        }

        private void rest(boolean keep) {
            timer.cancel();
            done = null;
            forwardRequest = null;
            if (!keep || !channel.isActive()) {
                channel.close();
                return;
            }
            if (writing) {
                // The rest of its body is due before anything else.
                timer = timers.after(idleMs * IDLE_PART, this::close);
            } else {
                reusable();
            }
        }

        private void reusable() {
            idleSince = timers.now();
            idle.addLast(this);
        }

        private void fail(PeerMessage.FailureReason why) {
            // What still comes in the same breath belongs to nothing.
            head = null;
            body = null;
            // Told first: the close would be told as a break.
            end(why);
            channel.close();
        }

        private void end(PeerMessage.FailureReason why) {
            if (timer != null) {
                timer.cancel();
            }
            idle.remove(this);
            Consumer<PeerMessage> tell = done;
            done = null;
            if (tell != null) {
                tell.accept(new PeerMessage.ForwardFailure(forwardRequest.stream(), why, 0, 0));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(PeerMessage.FailureReason.BROKEN);
        }

        // Before the connection is told to be closed: after a reset no answer ends with its connection.
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(PeerMessage.FailureReason.BROKEN);
        }
    }
}
