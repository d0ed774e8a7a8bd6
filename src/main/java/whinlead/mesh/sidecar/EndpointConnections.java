package whinlead.mesh.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.http.StrictClientCodec;
import whinlead.loop.LoopTimers;
import whinlead.mesh.wire.PeerMessage;

/**
 * Connections to the endpoint beside this sidecar. Reports for each request whether it has run, may have run, or has
 * not run. A response is passed on only if it is complete and belongs to the request. Runs on its loop's thread.
 */
public final class EndpointConnections {
    /** Largest head of a response, in bytes; a client's request may have as large a one in the usual configuration. */
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private static final HttpDecoderConfig CODEC_CONFIG =
            new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEADER_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES);
    private static final int CONNECT_TIMEOUT_MS = 800;
    /** Fraction of the endpoint's keep-alive time within which an idle connection is reused. */
    private static final double IDLE_USE_FRACTION = 0.6;
    /** Keep-alive time if the endpoint announces none, in milliseconds. */
    private static final double DEFAULT_IDLE_MS = 4000;

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
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();
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
        return send(forwardRequest, null, instance, resultListener);
    }

    /**
     * Sends a request at most once.
     *
     * @param body the body if it is passed on while it arrives, of which nothing was taken; null if the request
     *     contains it
     * @param instance the endpoint's id, which any other endpoint rejects; empty if none is known
     * @param resultListener gets the result exactly once, as for a request that contains its body
     */
    SentRequest send(
            PeerMessage.ForwardRequest forwardRequest,
            BodyStream body,
            String instance,
            Consumer<PeerMessage> resultListener) {
        double deadlineMs = timers.nowMs() + forwardRequest.leftMs();
        String attemptId = EndpointRequestEncoder.attemptId(forwardRequest);
        EndpointConnection connection = idle(attemptId);
        if (connection != null) {
            connection.start(forwardRequest, body, attemptId, deadlineMs, instance, resultListener);
            return whileRunning -> connection.cancel(forwardRequest, whileRunning);
        }
        EndpointConnection newConnection = new EndpointConnection(this);
        newConnection.reserveFor(forwardRequest);
        connector
                .connect(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new StrictClientCodec(CODEC_CONFIG), newConnection);
                    }
                })
                .addListener(connectFuture -> {
                    if (connectFuture.isSuccess()) {
                        newConnection.start(
                                forwardRequest,
                                body,
                                attemptId,
                                newConnection.isCancelled() ? 0 : deadlineMs,
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
    private EndpointConnection idle(String attemptId) {
        List<EndpointConnection> skipped = new ArrayList<>();
        EndpointConnection found = null;
        while (found == null && !idle.isEmpty()) {
            EndpointConnection connection = idle.pollLast();
            if (!connection.isReusable()) {
                connection.close();
            } else if (connection.hasSent(attemptId)) {
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

    /** The clock, and timers that run on this thread. */
    Timers timers() {
        return timers;
    }

    /** How long an idle connection may be used again, in milliseconds. */
    double reuseMs() {
        return idleMs * IDLE_USE_FRACTION;
    }

    /** Takes the endpoint's keep-alive time from a response. */
    void responseReceived(HttpResponse response) {
        idleMs = ResponseValidator.idleMs(response, idleMs, DEFAULT_IDLE_MS);
    }

    /** Adds a connection on which nothing is under way. */
    void returnToIdle(EndpointConnection connection) {
        idle.addLast(connection);
    }

    /** Removes a connection that can't be used again. */
    void remove(EndpointConnection connection) {
        idle.remove(connection);
    }
}
