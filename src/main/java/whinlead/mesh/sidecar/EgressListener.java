package whinlead.mesh.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Timers;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.wire.PeerMessage;

/**
 * Where the clients and the endpoint of this machine send their requests: finds route, tenant and quota, and has the
 * service's module decide the rest. On its loop's thread.
 */
final class EgressListener implements ClientConnection.Taker {
    /** Bodies that are held at a time, in bytes; beyond, clients are told to come back. */
    private static final long MAX_HOLD = 40L << 20;

    private static final MeshConfig.Limits FIRST = new MeshConfig.Limits(16384, 64 << 20, 3, 15);
    private static final int UNKNOWN_KEY = 401;
    private static final int NO_ROUTE = 404;
    private static final int BAD = 400;
    private static final int OVER = 429;
    private static final int FAILED = 502;
    private static final int NOT_NOW = 503;
    private static final int LATE = 504;
    /** When to come back after a request's time was up and it had not gone out, in milliseconds. */
    private static final double NOT_RUN_MS = 300;
    /** Until when to come back where no configuration is known yet, in milliseconds. */
    private static final double NO_ROUTES_MS = 300;

    private static final int BACKLOG = 512;

    /** Finds a service's service balancer. */
    interface Depots {
        /** For requests with large bodies, or for the others. */
        ServiceBalancer of(String target, boolean large);
    }

    private final EventLoop loop;
    private final Timers timers;
    private final Supplier<RoutingTable> routing;
    private final Depots balancers;
    private final Supplier<String> service;
    private final IntSupplier sidecars;
    private final TenantQuota allowance;
    private final RequestClasses classes;
    private final SplittableRandom random = new SplittableRandom();
    private final Set<ClientConnection> windows = new HashSet<>();
    private long held;
    private final Set<Exchange> exchanges = new LinkedHashSet<>();
    private boolean leaving;
    private boolean refusing;

    EgressListener(
            EventLoop loop,
            Timers timers,
            Supplier<RoutingTable> routing,
            Depots balancers,
            Supplier<String> service,
            IntSupplier sidecars,
            TenantQuota allowance,
            RequestClasses classes) {
        this.loop = loop;
        this.timers = timers;
        this.routing = routing;
        this.balancers = balancers;
        this.service = service;
        this.sidecars = sidecars;
        this.allowance = allowance;
        this.classes = classes;
    }

    ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch);
                    }
                })
                .bind(address);
    }

    /** A client has connected. */
    void accept(Channel connection) {
        ClientConnection window = new ClientConnection(this);
        windows.add(window);
        connection.closeFuture().addListener(f -> windows.remove(window));
        window.on(connection);
    }

    void tick() {
        List.copyOf(windows).forEach(ClientConnection::tick);
    }

    /** From now on connections end after the answer under way. */
    void leave() {
        leaving = true;
        tick();
    }

    /** From now on requests are refused: what they began might be cut off. */
    void refuse() {
        refusing = true;
    }

    /** Answers what is still under way with what can be said of it: the process is about to end. */
    void answerAll() {
        List.copyOf(exchanges).forEach(Exchange::breakOff);
    }

    /** Requests that have not been answered. */
    int underWay() {
        return exchanges.size();
    }

    /** Connections of clients. */
    int connections() {
        return windows.size();
    }

    @Override
    public MeshConfig.Limits limits() {
        RoutingTable now = routing.get();
        return now == null ? FIRST : now.config().limits();
    }

    @Override
    public boolean hold(int bytes) {
        if (held + bytes > MAX_HOLD) {
            return false;
        }
        held += bytes;
        return true;
    }

    @Override
    public void letGo(int bytes) {
        held -= bytes;
    }

    @Override
    public boolean leaving() {
        return leaving;
    }

    @Override
    public Timers timers() {
        return timers;
    }

    @Override
    public void take(HttpRequest head, byte[] body, ClientConnection.Turn turn) {
        RoutingTable now = routing.get();
        if (now == null || refusing) {
            later(turn, NOT_NOW, NO_ROUTES_MS);
            return;
        }
        RoutingTable.NamedRoute way = now.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (way == null) {
            plain(turn, NO_ROUTE);
            return;
        }
        String attempt = head.headers().get(ForwardedHeaders.ATTEMPT);
        double deadline = deadline(head);
        if (attempt == null || attempt.isEmpty() || Double.isNaN(deadline)) {
            plain(turn, BAD);
            return;
        }
        RoutingTable.NamedTenant payer = now.tenantOf(head.headers().get(ForwardedHeaders.KEY));
        if (payer == null && !way.route().open() && now.requiresKeys()) {
            plain(turn, UNKNOWN_KEY);
            return;
        }
        if (payer != null) {
            double wait = allowance.acquire(
                    timers.now(),
                    payer.name(),
                    payer.tenant().ratePerS(),
                    payer.tenant().burst(),
                    Math.max(1, sidecars.getAsInt()));
            if (wait > 0) {
                later(turn, OVER, wait);
                return;
            }
        }
        String target = way.service(random.nextDouble());
        ServiceBalancer balancer =
                balancers.of(target, MeshConfig.INGEST.equals(way.route().kind()));
        double timeout = Math.max(1, timeout(way, deadline) - turn.readingMs());
        Integer rank = payer == null ? null : payer.tenant().rank();
        new Exchange(
                        head,
                        body,
                        turn,
                        way,
                        payer,
                        target,
                        timeout,
                        rank == null ? way.route().rank() : rank)
                .go(balancer);
    }

    @Override
    public double mostMs(HttpRequest head) {
        RoutingTable now = routing.get();
        RoutingTable.NamedRoute way =
                now == null ? null : now.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        double deadline = deadline(head);
        return way == null || Double.isNaN(deadline) ? Double.POSITIVE_INFINITY : timeout(way, deadline);
    }

    // How long the request may be held, from when its head was read, in milliseconds.
    private static double timeout(RoutingTable.NamedRoute way, double deadline) {
        return Math.min(deadline, way.route().deadlineS() * 1000);
    }

    private static double deadline(HttpRequest head) {
        String text = head.headers().get(ForwardedHeaders.DEADLINE);
        if (text == null) {
            return Double.MAX_VALUE;
        }
        try {
            double ms = Double.parseDouble(text.trim());
            return ms > 0 ? ms : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static void plain(ClientConnection.Turn turn, int status) {
        turn.answer(status, List.of(), new byte[0]);
    }

    private static void later(ClientConnection.Turn turn, int status, double waitMs) {
        turn.answer(
                status,
                List.of("Retry-After", String.format(Locale.ROOT, "%.3f", Math.max(1, waitMs) / 1000)),
                new byte[0]);
    }

    /** One request of a client's. */
    private final class Exchange implements ServiceBalancer.Shipment, ResponseSink<PeerMessage.ForwardResponse> {
        private final String method;
        private final String uri;
        private final List<String> headers;
        private final byte[] body;
        private final ClientConnection.Turn turn;
        private final RoutingTable.NamedRoute way;
        private final String target;
        private final int rank;
        private final double timeout;
        private final double endAt;
        private final EndpointAttempts attempts;
        private ServiceBalancer.Taken taken = () -> {};
        private PeerMessage.ForwardResponse last;

        private Exchange(
                HttpRequest head,
                byte[] body,
                ClientConnection.Turn turn,
                RoutingTable.NamedRoute way,
                RoutingTable.NamedTenant payer,
                String target,
                double timeout,
                int rank) {
            this.method = head.method().name();
            this.uri = head.uri();
            this.headers = ForwardedHeaders.onward(head.headers(), true);
            this.body = body;
            this.turn = turn;
            this.way = way;
            this.target = target;
            this.rank = rank;
            this.timeout = timeout;
            this.endAt = timers.now() + timeout;
            this.attempts = new EndpointAttempts(way.route().tries());
            if (payer != null) {
                headers.add(ForwardedHeaders.TENANT);
                headers.add(payer.name());
            }
            if (!service.get().isEmpty()) {
                headers.add(ForwardedHeaders.CALLER);
                headers.add(service.get());
            }
        }

        private void go(ServiceBalancer balancer) {
            exchanges.add(this);
            Request ask = new Request(
                    classes.of(way.isIdempotent(), rank, way.route().targetS() * 1000),
                    -1,
                    timeout,
                    false,
                    1,
                    body.length);
            taken = balancer.take(ask, Math.max(1, sidecars.getAsInt()), this, this);
            turn.onGone(() -> {
                exchanges.remove(this);
                taken.abandon();
            });
        }

        private void breakOff() {
            taken.abandon();
            end(NOT_RUN_MS);
        }

        @Override
        public PeerMessage.ForwardRequest request(String endpoint) {
            return new PeerMessage.ForwardRequest(
                    0, method, uri, headers, body, (int) Math.max(1, endAt - timers.now()), target, endpoint, rank);
        }

        @Override
        public EndpointAttempts attempts() {
            return attempts;
        }

        @Override
        public boolean repeatable() {
            return way.isIdempotent();
        }

        @Override
        public void answered(PeerMessage.ForwardResponse answer) {
            last = answer;
        }

        @Override
        public void served(PeerMessage.ForwardResponse answer) {
            exchanges.remove(this);
            turn.answer(answer.status(), answer.headers(), answer.body());
        }

        @Override
        public void refused(double retryAfter) {
            end(retryAfter);
        }

        @Override
        public void failed() {
            end(NOT_RUN_MS);
        }

        // A 503 says that it has not run, whatever it is; of what may have run nothing is promised.
        private void end(double retryAfter) {
            if (last != null) {
                served(last);
                return;
            }
            exchanges.remove(this);
            if (attempts.mayHaveRun()) {
                plain(turn, timers.now() >= endAt - 50 ? LATE : FAILED);
            } else {
                later(turn, NOT_NOW, retryAfter);
            }
        }
    }
}
