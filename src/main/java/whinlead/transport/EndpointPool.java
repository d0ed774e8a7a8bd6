package whinlead.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import whinlead.Contract;
import whinlead.admit.Budget;
import whinlead.engine.Clock;
import whinlead.engine.Transport;
import whinlead.http.EndpointResponse;
import whinlead.http.HttpCall;
import whinlead.http.StrictClientCodec;
import whinlead.membership.EndpointList;

/**
 * Connections to endpoints, each with one request at a time, and the outcome of each attempt. It sends each attempt
 * once and never retries. All code here runs on one event loop.
 */
public final class EndpointPool {
    /** Share of the endpoint's own idle limit, so that no request is sent while the endpoint closes the connection. */
    private static final double IDLE_LIMIT_SHARE = 0.75;

    private static final long IDLE_CHECK_INTERVAL_MS = 1000;
    /** The idle limit of an endpoint is never assumed to be shorter than this. */
    private static final double MIN_IDLE_MS = 50;
    /**
     * If an endpoint closed a connection after some idle time, the limit becomes this share of that time. It then grows
     * by the factor IDLE_LIMIT_REGAIN per second.
     */
    private static final double IDLE_LIMIT_CUT = 0.5;

    private static final double IDLE_LIMIT_REGAIN = 1.2;
    /** A response that has begun fails when no further bytes arrive for this time. */
    private static final double STALL_TIMEOUT_MS = 500;
    /** How long a connection is not reused after a response, so that extra bytes behind it are detected. */
    private static final long SETTLE_MS = 10;

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final double maxIdleMs;
    private final Budget budget;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final ArrayDeque<Connection> settling = new ArrayDeque<>();
    private boolean settleTimerRunning;
    private int openConnections;

    /**
     * Creates a pool without connections.
     *
     * @param channelType the type of the connections
     * @param endpointIdleMs milliseconds after which an endpoint closes an idle connection
     * @param budget limits the number of open connections to all endpoints together
     */
    public EndpointPool(
            EventLoop loop,
            Class<? extends Channel> channelType,
            Clock clock,
            int connectTimeoutMs,
            double endpointIdleMs,
            Budget budget) {
        this.loop = loop;
        this.clock = clock;
        this.maxIdleMs = endpointIdleMs * IDLE_LIMIT_SHARE;
        this.budget = budget;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
        loop.scheduleAtFixedRate(
                this::closeExpiredIdle, IDLE_CHECK_INTERVAL_MS, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Updates the endpoints: addresses may change, and endpoints that drain or are gone keep no idle connections. */
    public void update(EndpointList list) {
        if (list.whole()) {
            endpoints.values().forEach(endpoint -> endpoint.up = false);
        }
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = endpoints.computeIfAbsent(entry.server().id(), id -> new Endpoint(maxIdleMs));
            if (!Objects.equals(entry.address(), endpoint.address)) {
                endpoint.closeIdle();
                endpoint.address = entry.address();
            }
            endpoint.up = entry.server().state() == Contract.ServerState.UP;
        }
        endpoints.values().removeIf(endpoint -> {
            if (!endpoint.up) {
                endpoint.closeIdle();
            }
            return !endpoint.up;
        });
    }

    /** Returns the transport that sends the attempts of this request. */
    public Transport<EndpointResponse> transport(HttpCall request) {
        return new Transport<>() {
            @Override
            public AttemptHandle send(
                    String endpoint, int attempt, double within, OutcomeListener<EndpointResponse> told) {
                return EndpointPool.this.send(endpoint, request.attempt(attempt, within), told);
            }

            @Override
            public boolean connected(String endpoint) {
                Endpoint e = endpoints.get(endpoint);
                return e != null && !e.idle.isEmpty();
            }
        };
    }

    private Attempt send(String id, FullHttpRequest request, Transport.OutcomeListener<EndpointResponse> listener) {
        Attempt attempt = new Attempt(request, listener);
        Endpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            attempt.end(Contract.Outcome.NEVER_SENT, null, null);
            return attempt;
        }
        Connection idle = endpoint.pollIdle(clock.nowMs());
        if (idle != null) {
            idle.write(attempt);
        } else if (openConnections < budget.limit(Budget.Purpose.ENDPOINTS) || closeOldestIdle()) {
            connect(endpoint, attempt);
        } else {
            // Guards against running out of descriptors. Nothing was sent, so the module may choose another endpoint.
            budget.recordRefusal(Budget.Purpose.ENDPOINTS);
            attempt.end(Contract.Outcome.CONNECT_FAILED, null, null);
        }
        return attempt;
    }

    private void connect(Endpoint endpoint, Attempt attempt) {
        Connection connection = new Connection(endpoint);
        changeOpenConnections(1);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.addTo(channel.pipeline());
                    }
                })
                .connect(endpoint.address);
        connection.channel = connecting.channel();
        connecting.addListener(future -> {
            // Without a free descriptor there is no channel whose close event would reduce the count.
            if (!future.isSuccess()) {
                changeOpenConnections(-1);
                attempt.end(Contract.Outcome.CONNECT_FAILED, null, null);
                return;
            }
            connection.channel.closeFuture().addListener(closed -> changeOpenConnections(-1));
            if (attempt.ended) {
                // Aborted while connecting: the endpoint has spent work on the connection, so the next request uses it.
                connection.release();
            } else {
                connection.write(attempt);
            }
        });
    }

    private void changeOpenConnections(int change) {
        openConnections += change;
        budget.setUsed(Budget.Purpose.ENDPOINTS, openConnections);
    }

    private void closeExpiredIdle() {
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.maxIdleMs = Math.min(maxIdleMs, endpoint.maxIdleMs * IDLE_LIMIT_REGAIN);
            double idleBeforeMs = clock.nowMs() - endpoint.maxIdleMs;
            while (!endpoint.idle.isEmpty() && endpoint.idle.peekFirst().idleSinceMs < idleBeforeMs) {
                endpoint.idle.pollFirst().channel.close();
            }
        }
    }

    private void settle(Connection connection) {
        connection.settlingSinceMs = clock.nowMs();
        settling.addLast(connection);
        if (!settleTimerRunning) {
            settleTimerRunning = true;
            loop.schedule(this::releaseSettled, SETTLE_MS, TimeUnit.MILLISECONDS);
        }
    }

    // One timer for all settling connections: at high request rates one timer each cost more than all other work on a
    // request.
    private void releaseSettled() {
        double settlingBeforeMs = clock.nowMs() - SETTLE_MS;
        while (!settling.isEmpty() && settling.peekFirst().settlingSinceMs <= settlingBeforeMs) {
            settling.pollFirst().release();
        }
        settleTimerRunning = !settling.isEmpty();
        if (settleTimerRunning) {
            double waitMs = settling.peekFirst().settlingSinceMs - settlingBeforeMs;
            loop.schedule(this::releaseSettled, (long) Math.ceil(waitMs), TimeUnit.MILLISECONDS);
        }
    }

    private boolean closeOldestIdle() {
        Endpoint oldest = null;
        for (Endpoint endpoint : endpoints.values()) {
            if (!endpoint.idle.isEmpty()
                    && (oldest == null
                            || endpoint.idle.peekFirst().idleSinceMs < oldest.idle.peekFirst().idleSinceMs)) {
                oldest = endpoint;
            }
        }
        Connection closing = oldest == null ? settling.pollFirst() : oldest.idle.pollFirst();
        if (closing == null) {
            return false;
        }
        closing.channel.close();
        return true;
    }

    /** An endpoint on the list and its idle connections, the one that has been idle longest first. */
    private static final class Endpoint {
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
        SocketAddress address;
        boolean up;
        double maxIdleMs;

        Endpoint(double maxIdleMs) {
            this.maxIdleMs = maxIdleMs;
        }

        // Returns the most recently used one, so that connections beyond the need reach the idle limit and are closed.
        Connection pollIdle(double nowMs) {
            Connection connection = idle.pollLast();
            while (connection != null
                    && (!connection.channel.isActive() || connection.idleSinceMs < nowMs - maxIdleMs)) {
                connection.channel.close();
                connection = idle.pollLast();
            }
            return connection;
        }

        void closeIdle() {
            idle.forEach(c -> c.channel.close());
            idle.clear();
        }
    }

    /** One attempt at one endpoint. */
    private final class Attempt implements Transport.AttemptHandle {
        private final FullHttpRequest request;
        private final Transport.OutcomeListener<EndpointResponse> listener;
        private Connection connection;
        private boolean ended;

        private Attempt(FullHttpRequest request, Transport.OutcomeListener<EndpointResponse> listener) {
            this.request = request;
            this.listener = listener;
        }

        private void end(Contract.Outcome outcome, EndpointResponse answer, Contract.Report report) {
            if (!ended) {
                ended = true;
                listener.ended(outcome, answer, report);
            }
        }

        // Closes the connection of the attempt.
        @Override
        public boolean abort() {
            if (ended) {
                return true;
            }
            ended = true;
            if (connection == null) {
                return false;
            }
            boolean written = connection.written;
            connection.channel.close();
            return written;
        }
    }

    /** One connection and the attempt on it, if any. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Endpoint endpoint;
        private final SocketAddress address;
        private final StrictClientCodec codec = new StrictClientCodec();
        private final ResponseReader reader = new ResponseReader();
        private Channel channel;
        private Attempt attempt;
        private boolean written;
        private double lastReadMs;
        private Future<?> stallTimer;
        private double idleSinceMs;
        private double settlingSinceMs;
        private double idleForMs;

        private Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            this.address = endpoint.address;
        }

        private void addTo(ChannelPipeline pipeline) {
            pipeline.addLast(new UnsolicitedInputGuard(), codec, this);
        }

        /**
         * Closes the connection on input outside of an attempt, which would be read as the answer to the next request.
         */
        private final class UnsolicitedInputGuard extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (attempt == null || attempt.ended) {
                    ((ByteBuf) message).release();
                    ctx.close();
                } else {
                    lastReadMs = clock.nowMs();
                    ctx.fireChannelRead(message);
                }
            }
        }

        private void write(Attempt newAttempt) {
            attempt = newAttempt;
            newAttempt.connection = this;
            written = false;
            reader.reset();
            lastReadMs = 0;
            idleForMs = idleSinceMs > 0 ? clock.nowMs() - idleSinceMs : 0;
            channel.writeAndFlush(newAttempt.request).addListener(future -> {
                if (future.isSuccess()) {
                    written = true;
                } else {
                    closeAndFail();
                }
            });
        }

        // The endpoint may have moved while the connection was in use; a connection to its old address is closed.
        private void release() {
            if (channel.isActive() && endpoint.up && address.equals(endpoint.address)) {
                idleSinceMs = clock.nowMs();
                endpoint.idle.addLast(this);
            } else {
                channel.close();
            }
        }

        // A break before the last byte was written proves that the request did not run; a later break proves nothing.
        private void failAttempt() {
            if (attempt != null) {
                Attempt failed = attempt;
                attempt = null;
                // Guards against an endpoint that closes idle connections long before the configured time.
                if (!failed.ended && lastReadMs == 0 && idleForMs > MIN_IDLE_MS) {
                    endpoint.maxIdleMs = Math.max(MIN_IDLE_MS, idleForMs * IDLE_LIMIT_CUT);
                }
                failed.end(written ? Contract.Outcome.RESET : Contract.Outcome.CONNECT_FAILED, null, null);
            }
        }

        // The request of an invalid response may have run. The connection cannot be used any more.
        private void closeAndFail() {
            channel.close();
            failAttempt();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
            if (attempt != null && !reader.read(message)) {
                closeAndFail();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (attempt == null || attempt.ended) {
                return;
            }
            if (reader.isComplete()) {
                completeAttempt();
            } else if (stallTimer == null && codec.hasUnfinishedInput()) {
                // Guards against a response that begins and never ends on a connection that stays open.
                watchForStall(attempt, STALL_TIMEOUT_MS);
            }
        }

        private void watchForStall(Attempt watched, double waitMs) {
            stallTimer = loop.schedule(
                    () -> {
                        stallTimer = null;
                        double leftMs = lastReadMs + STALL_TIMEOUT_MS - clock.nowMs();
                        if (attempt != watched || watched.ended) {
                            return;
                        }
                        if (leftMs > 0) {
                            watchForStall(watched, leftMs);
                        } else {
                            closeAndFail();
                        }
                    },
                    (long) Math.ceil(waitMs),
                    TimeUnit.MILLISECONDS);
        }

        private void completeAttempt() {
            Attempt finished = attempt;
            attempt = null;
            if (stallTimer != null) {
                stallTimer.cancel(false);
                stallTimer = null;
            }
            if (written && reader.leavesConnectionUsable() && !codec.hasUnfinishedInput()) {
                // Guards against extra bytes that arrive a little later and would be read as the answer to the next
                // request. The loop reads what has arrived before it runs the timer, so this also holds when the
                // loop is late.
                settle(this);
            } else {
                channel.close();
            }
            finished.end(reader.outcome(), reader.response(), reader.loadReport());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            endpoint.idle.remove(this);
            failAttempt();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
