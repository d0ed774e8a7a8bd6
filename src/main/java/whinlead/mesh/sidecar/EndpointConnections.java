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
 * Connections to the endpoint beside this sidecar. Reports for each request whether it has run, may have run, or has
 * not run. A response is passed on only if it is complete and belongs to the request. Runs on its loop's thread.
 */
public final class EndpointConnections {
    /** Largest response that is buffered, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private static final int CONNECT_TIMEOUT_MS = 800;
    /** How long after a request's deadline the endpoint's own 504 is still awaited. */
    private static final int TIMEOUT_SLACK_MS = 10;
    /** Fraction of the endpoint's keep-alive time within which an idle connection is reused. */
    private static final double IDLE_USE_FRACTION = 0.6;
    /** Keep-alive time if the endpoint announces none, in milliseconds. */
    private static final double DEFAULT_IDLE_MS = 4000;
    /** Maximum number of attempt ids remembered for each connection. */
    private static final int MAX_REMEMBERED_IDS = 64;

    /** Opens a connection to the endpoint. */
    public interface Connector {
        /**
         * Starts connecting, with these handlers on the channel. The listeners of the future are notified before the
         * channel becomes active.
         */
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

    /** Creates connections that use these timers, on whose thread everything runs. */
    public EndpointConnections(Timers timers, Connector connector) {
        this.timers = timers;
        this.connector = connector;
    }

    /** A request that was sent and can be cancelled when its client disconnects. */
    @FunctionalInterface
    public interface SentRequest {
        /**
         * Cancels the request: it is not written if it still waits for a connection. Has no effect once the request has
         * ended.
         *
         * @param whileRunning whether to close its connection if the request was already written, which stops it at
         *     most endpoints
         */
        void cancel(boolean whileRunning);
    }

    /**
     * Sends a request at most once.
     *
     * @param instance the endpoint's id, which any other endpoint rejects; empty if none is known
     * @param resultListener gets the result exactly once, also after a cancellation: a
     *     {@link PeerMessage.ForwardResponse} or a {@link PeerMessage.ForwardFailure}, without load figures
     */
    public SentRequest send(
            PeerMessage.ForwardRequest forwardRequest, String instance, Consumer<PeerMessage> resultListener) {
        double deadlineMs = timers.nowMs() + forwardRequest.leftMs();
        String attemptId = EndpointRequestEncoder.attemptId(forwardRequest);
        Connection connection = idle(attemptId);
        if (connection != null) {
            connection.start(forwardRequest, attemptId, deadlineMs, instance, resultListener);
            return whileRunning -> connection.cancel(forwardRequest, whileRunning);
        }
        Connection newConnection = new Connection();
        newConnection.forwardRequest = forwardRequest;
        connector
                .connect(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), newConnection);
                    }
                })
                .addListener(connectFuture -> {
                    if (connectFuture.isSuccess()) {
                        newConnection.start(
                                forwardRequest,
                                attemptId,
                                newConnection.forwardRequest == null ? 0 : deadlineMs,
                                instance,
                                resultListener);
                    } else {
                        resultListener.accept(new PeerMessage.ForwardFailure(
                                forwardRequest.stream(), PeerMessage.FailureReason.UNREACHED, 0, 0));
                    }
                });
        return whileRunning -> newConnection.cancel(forwardRequest, whileRunning);
    }

    // The most recently used reusable connection, but none that already carried this attempt id: a late response to
    // the earlier request would be taken for the response to this one.
    private Connection idle(String attemptId) {
        List<Connection> skipped = new ArrayList<>();
        Connection found = null;
        while (found == null && !idle.isEmpty()) {
            Connection connection = idle.pollLast();
            if (!connection.isReusable()) {
                connection.close();
            } else if (connection.sentAttemptIds.contains(attemptId)) {
                skipped.add(connection);
            } else {
                found = connection;
            }
        }
        for (int i = skipped.size() - 1; i >= 0; i--) {
            idle.addLast(skipped.get(i));
        }
        return found;
    }

    /** Closes connections that have been idle for too long to be reused. */
    void tick() {
        while (!idle.isEmpty() && !idle.peekFirst().isReusable()) {
            idle.pollFirst().close();
        }
    }

    /** Closes all idle connections, because the endpoint has left. */
    void clear() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private PeerMessage.ForwardRequest forwardRequest;
        private String attemptId;
        private Consumer<PeerMessage> resultListener;
        private Timers.TimerHandle responseTimer;
        private HttpResponse responseHead;
        private boolean matchesAttempt;
        private boolean informational;
        private boolean writing;
        private ByteBuf responseBody;
        private double idleSinceMs;
        private final Set<String> sentAttemptIds = new LinkedHashSet<>();

        // Set here and not in channelActive: listeners of the connect future are notified before that.
        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        boolean isReusable() {
            return channel.isActive() && timers.nowMs() - idleSinceMs < idleMs * IDLE_USE_FRACTION;
        }

        void close() {
            channel.close();
        }

        // While connecting there is no listener to notify yet; start() finds the request dropped.
        void cancel(PeerMessage.ForwardRequest request, boolean whileRunning) {
            if (forwardRequest == request && resultListener == null) {
                forwardRequest = null;
            } else if (forwardRequest == request && whileRunning) {
                fail(PeerMessage.FailureReason.BROKEN);
            }
        }

        void start(
                PeerMessage.ForwardRequest request,
                String id,
                double deadlineMs,
                String instance,
                Consumer<PeerMessage> listener) {
            forwardRequest = request;
            attemptId = id;
            resultListener = listener;
            double remainingMs = deadlineMs - timers.nowMs();
            if (channel == null || !channel.isActive() || remainingMs < 1) {
                // Nothing was written. The deadline may have passed while the connection was being opened.
                boolean connected = channel != null && channel.isActive();
                reportFailure(PeerMessage.FailureReason.UNREACHED);
                if (connected) {
                    returnToIdle();
                }
                return;
            }
            rememberAttemptId(id);
            FullHttpRequest httpRequest;
            try {
                httpRequest = EndpointRequestEncoder.encode(request, remainingMs, instance);
            } catch (IllegalArgumentException e) {
                // An invalid request is never written. The exception must not break the peer connection that it came
                // from.
                reportFailure(PeerMessage.FailureReason.UNREACHED);
                channel.close();
                return;
            }
            responseTimer = timers.schedule(remainingMs + TIMEOUT_SLACK_MS, () -> fail(PeerMessage.FailureReason.LATE));
            writing = true;
            channel.writeAndFlush(httpRequest).addListener(f -> writeCompleted(f.isSuccess()));
        }

        // An endpoint may respond before this, and read the rest of a long body only later.
        private void writeCompleted(boolean success) {
            writing = false;
            if (!success) {
                fail(PeerMessage.FailureReason.BROKEN);
            } else if (forwardRequest == null && channel.isActive()) {
                responseTimer.cancel();
                returnToIdle();
            }
        }

        private void rememberAttemptId(String id) {
            if (id != null && sentAttemptIds.add(id) && sentAttemptIds.size() > MAX_REMEMBERED_IDS) {
                sentAttemptIds.remove(sentAttemptIds.iterator().next());
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (message instanceof HttpObject object
                        && object.decoderResult().isFailure()) {
                    fail(PeerMessage.FailureReason.BROKEN);
                    return;
                }
                if (message instanceof HttpResponse response) {
                    informational =
                            HttpStatusClass.INFORMATIONAL == response.status().codeClass();
                    if (!informational) {
                        beginResponse(response);
                    }
                }
                if (message instanceof HttpContent content && !informational && responseHead != null) {
                    appendBody(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        // A late response to an earlier request may arrive in place of the next; the attempt id tells them apart.
        private void beginResponse(HttpResponse response) {
            responseHead = response;
            matchesAttempt = resultListener != null
                    && attemptId != null
                    && attemptId.equals(response.headers().get(ForwardedHeaders.ATTEMPT_ID));
            responseBody = Unpooled.buffer(256);
            if (!ResponseValidator.isFramed(response)) {
                // The end of the body is ambiguous, or an intermediary has encoded the body.
                fail(PeerMessage.FailureReason.BROKEN);
            }
        }

        private void appendBody(HttpContent content) {
            if (responseBody.readableBytes() + content.content().readableBytes() > MAX_RESPONSE_BYTES) {
                fail(PeerMessage.FailureReason.BROKEN);
                return;
            }
            responseBody.writeBytes(content.content());
            if (content instanceof LastHttpContent) {
                completeResponse();
            }
        }

        private void completeResponse() {
            HttpResponse response = responseHead;
            byte[] bytes = ByteBufUtil.getBytes(responseBody);
            responseHead = null;
            responseBody = null;
            if (!matchesAttempt) {
                if (resultListener == null && response.headers().get(ForwardedHeaders.ATTEMPT_ID) == null) {
                    channel.close();
                }
                return;
            }
            boolean keepAlive =
                    HttpUtil.isKeepAlive(response) && !HttpMethod.CONNECT.name().equals(forwardRequest.method());
            idleMs = ResponseValidator.idleMs(response, idleMs, DEFAULT_IDLE_MS);
            PeerMessage.FailureReason rejection = ResponseValidator.rejectionReason(response);
            Consumer<PeerMessage> listener = resultListener;
            PeerMessage.ForwardRequest answeredRequest = forwardRequest;
            finishExchange(keepAlive);
            if (rejection != null) {
                listener.accept(new PeerMessage.ForwardFailure(answeredRequest.stream(), rejection, 0, 0));
            } else {
                listener.accept(new PeerMessage.ForwardResponse(
                        answeredRequest.stream(),
                        response.status().code(),
                        ForwardedHeaders.copyForwardable(response.headers(), false),
                        bytes,
                        0,
                        0));
            }
        }

        private void finishExchange(boolean keepAlive) {
            responseTimer.cancel();
            resultListener = null;
            forwardRequest = null;
            if (!keepAlive || !channel.isActive()) {
                channel.close();
                return;
            }
            if (writing) {
                // The rest of the request body must be written before the connection is used again.
                responseTimer = timers.schedule(idleMs * IDLE_USE_FRACTION, this::close);
            } else {
                returnToIdle();
            }
        }

        private void returnToIdle() {
            idleSinceMs = timers.nowMs();
            idle.addLast(this);
        }

        private void fail(PeerMessage.FailureReason reason) {
            // Further content of the same read is ignored.
            responseHead = null;
            responseBody = null;
            // Reported before closing, which would otherwise be reported as a broken connection.
            reportFailure(reason);
            channel.close();
        }

        private void reportFailure(PeerMessage.FailureReason reason) {
            if (responseTimer != null) {
                responseTimer.cancel();
            }
            idle.remove(this);
            Consumer<PeerMessage> listener = resultListener;
            resultListener = null;
            if (listener != null) {
                listener.accept(new PeerMessage.ForwardFailure(forwardRequest.stream(), reason, 0, 0));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            reportFailure(PeerMessage.FailureReason.BROKEN);
        }

        // Called before channelInactive: after a reset, the end of the connection does not complete a response.
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(PeerMessage.FailureReason.BROKEN);
        }
    }
}
