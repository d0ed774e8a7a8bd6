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
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import whinlead.engine.Timers;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.quota.QuotaDecision;

/**
 * Accepts requests of the clients and of the endpoint on this machine: finds route, tenant and quota, and passes each
 * request to the service's balancer. Runs on its loop's thread.
 */
final class EgressListener implements ClientConnection.RequestHandler {
    /** Limits until a configuration is known. */
    private static final MeshConfig.Limits DEFAULT_LIMITS = new MeshConfig.Limits(16384, 64 << 20, 3, 15);
    /** {@code Retry-After} while no configuration is known, in milliseconds. */
    private static final double NO_CONFIG_RETRY_MS = 300;

    /** {@code Retry-After} while a request's key has no owner, in milliseconds: the key is about to be granted. */
    private static final double NO_OWNER_RETRY_MS = 200;
    /** Stands for the key of a request to a service whose endpoints run any request. */
    private static final int NOT_SHARDED = -2;

    private static final int BACKLOG = 512;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Finds the balancer for a request. */
    interface Balancers {
        /** The balancer of a service, separate for requests with large bodies. */
        ServiceBalancer forService(String target, boolean largeBodies);

        /** The balancer for requests with this key, for a service that is sharded by key; null if no owner is known. */
        default ServiceBalancer forKey(String target, int key) {
            return null;
        }
    }

    private final EventLoop loop;
    private final Timers timers;
    private final Supplier<RoutingTable> routing;
    private final Balancers balancers;
    private final Supplier<String> callerService;
    private final IntSupplier knownSidecars;
    private final QuotaClient quota;
    private final RequestClasses classes;
    private final BodyBudget bodyBudget;
    private final SplittableRandom random = new SplittableRandom();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Set<ClientExchange> exchanges = new LinkedHashSet<>();
    private final Set<QuotaAdmission> admissions = new LinkedHashSet<>();
    private boolean shuttingDown;
    private boolean rejecting;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param routing the configuration in force, or null
     * @param callerService the service of the endpoint beside this sidecar; empty if none is known
     * @param knownSidecars how many sidecars are known
     * @param bodyBudget limits the bodies that are held; beyond it, clients get a 503 with {@code Retry-After}
     */
    EgressListener(
            EventLoop loop,
            Timers timers,
            Supplier<RoutingTable> routing,
            Balancers balancers,
            Supplier<String> callerService,
            IntSupplier knownSidecars,
            QuotaClient quota,
            RequestClasses classes,
            BodyBudget bodyBudget) {
        this.loop = loop;
        this.timers = timers;
        this.routing = routing;
        this.balancers = balancers;
        this.callerService = callerService;
        this.knownSidecars = knownSidecars;
        this.quota = quota;
        this.classes = classes;
        this.bodyBudget = bodyBudget;
    }

    /** Starts listening; the future fails if the address is in use. */
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

    /** Accepts a client's connection. */
    void accept(Channel channel) {
        ClientConnection connection = new ClientConnection(this);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        connection.addTo(channel);
    }

    /** Called periodically: closes connections that are silent for too long. */
    void tick() {
        List.copyOf(connections).forEach(ClientConnection::tick);
    }

    /** From now on connections are closed after their pending responses. */
    void closeConnections() {
        shuttingDown = true;
        tick();
    }

    /** From now on new requests are rejected, because they might be cut off before they end. */
    void rejectRequests() {
        rejecting = true;
    }

    /** Answers all pending requests with the response that is possible now, because the process is about to end. */
    void answerPending() {
        List.copyOf(admissions).forEach(QuotaAdmission::abort);
        List.copyOf(exchanges).forEach(ClientExchange::abort);
    }

    /** Number of requests that are not answered yet. */
    int pendingCount() {
        return exchanges.size() + admissions.size();
    }

    /** Number of client connections. */
    int connections() {
        return connections.size();
    }

    @Override
    public MeshConfig.Limits limits() {
        RoutingTable currentRouting = routing.get();
        return currentRouting == null ? DEFAULT_LIMITS : currentRouting.config().limits();
    }

    @Override
    public boolean tryReserve(int bytes) {
        return bodyBudget.tryReserve(bytes);
    }

    @Override
    public void release(int bytes) {
        bodyBudget.release(bytes);
    }

    @Override
    public boolean shuttingDown() {
        return shuttingDown;
    }

    @Override
    public Timers timers() {
        return timers;
    }

    @Override
    public void handle(HttpRequest head, RequestBody body, PendingResponse response) {
        RoutingTable currentRouting = routing.get();
        if (currentRouting == null || rejecting) {
            ClientExchange.reject(response, HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
            return;
        }
        RoutingTable.NamedRoute route = currentRouting.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (route == null) {
            ClientExchange.reject(response, HttpResponseStatus.NOT_FOUND);
            return;
        }
        String attemptId = head.headers().get(ForwardedHeaders.ATTEMPT_ID);
        double requestedTimeoutMs = requestedTimeoutMs(head);
        if (attemptId == null || attemptId.isEmpty() || Double.isNaN(requestedTimeoutMs)) {
            ClientExchange.reject(response, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RoutingTable.NamedTenant tenant = currentRouting.tenantOf(head.headers().get(ForwardedHeaders.API_KEY));
        if (tenant == null && !route.route().open() && currentRouting.requiresKeys()) {
            ClientExchange.reject(response, HttpResponseStatus.UNAUTHORIZED);
            return;
        }
        double timeoutMs = Math.max(1, timeoutMs(route, requestedTimeoutMs) - response.readDurationMs());
        IncomingRequest request = new IncomingRequest(head, body, response, route, tenant, timers.nowMs() + timeoutMs);
        if (tenant == null) {
            forward(request);
        } else {
            new QuotaAdmission(request).start();
        }
    }

    /**
     * A request that the configuration allows.
     *
     * @param tenant the tenant whose request it is, or null
     * @param deadlineMs the time from which a response is of no use, in milliseconds
     */
    private record IncomingRequest(
            HttpRequest head,
            RequestBody body,
            PendingResponse response,
            RoutingTable.NamedRoute route,
            RoutingTable.NamedTenant tenant,
            double deadlineMs) {}

    /** A tenant's request until its quota is decided. */
    private final class QuotaAdmission {
        private final IncomingRequest request;
        private Runnable cancelSearch = () -> {};

        private QuotaAdmission(IncomingRequest request) {
            this.request = request;
        }

        private void start() {
            admissions.add(this);
            request.response().onClientDisconnect(this::cancel);
            MeshConfig.Tenant tenantLimits = request.tenant().tenant();
            double targetMs = request.route().route().targetS() * MILLIS_PER_SECOND;
            cancelSearch = quota.acquire(
                    request.tenant().name(),
                    tenantLimits.ratePerS(),
                    tenantLimits.burst(),
                    targetMs,
                    this::quotaDecided);
        }

        // May be called while a control node's message is handled, or by a timer. An exception must neither leave the
        // request unanswered nor end what it passes through.
        private void quotaDecided(QuotaDecision decision) {
            admissions.remove(this);
            try {
                proceed(decision);
            } catch (RuntimeException fault) {
                GuardedTask.log(fault);
                ClientExchange.reject(request.response(), HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }

        private void proceed(QuotaDecision decision) {
            if (decision instanceof QuotaDecision.Refused refused) {
                ClientExchange.reject(request.response(), HttpResponseStatus.TOO_MANY_REQUESTS, refused.retryAfterMs());
            } else if (rejecting) {
                ClientExchange.reject(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
            } else {
                EgressListener.this.forward(request);
            }
        }

        private void abort() {
            cancel();
            ClientExchange.reject(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
        }

        private void cancel() {
            admissions.remove(this);
            cancelSearch.run();
        }
    }

    private int sidecarCount() {
        return Math.max(1, knownSidecars.getAsInt());
    }

    private void forward(IncomingRequest request) {
        RoutingTable.NamedRoute route = request.route();
        RoutingTable.NamedTenant tenant = request.tenant();
        String target = route.service(random.nextDouble());
        RoutingTable currentRouting = routing.get();
        int key = currentRouting != null && currentRouting.isDivided(target)
                ? ShardKey.fromHeaders(request.head().headers())
                : NOT_SHARDED;
        if (key == ShardKey.NONE) {
            ClientExchange.reject(request.response(), HttpResponseStatus.BAD_REQUEST);
            return;
        }
        boolean largeBodies = MeshConfig.INGEST.equals(route.route().kind());
        Supplier<ServiceBalancer> balancer =
                () -> key == NOT_SHARDED ? balancers.forService(target, largeBodies) : balancers.forKey(target, key);
        if (balancer.get() == null) {
            ClientExchange.reject(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_OWNER_RETRY_MS);
            return;
        }
        Integer tenantRank = tenant == null ? null : tenant.tenant().rank();
        ClientExchange exchange = new ClientExchange(
                timers,
                exchanges::remove,
                request.head(),
                request.body(),
                request.response(),
                route,
                tenant,
                callerService.get(),
                target,
                Math.max(1, request.deadlineMs() - timers.nowMs()),
                tenantRank == null ? route.route().rank() : tenantRank);
        exchanges.add(exchange);
        exchange.start(balancer, classes, sidecarCount());
    }

    @Override
    public double timeoutMs(HttpRequest head) {
        RoutingTable currentRouting = routing.get();
        RoutingTable.NamedRoute route = currentRouting == null
                ? null
                : currentRouting.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        double requestedTimeoutMs = requestedTimeoutMs(head);
        return route == null || Double.isNaN(requestedTimeoutMs)
                ? Double.POSITIVE_INFINITY
                : timeoutMs(route, requestedTimeoutMs);
    }

    // How long a request may be held, counted from when its head was read.
    private static double timeoutMs(RoutingTable.NamedRoute route, double requestedTimeoutMs) {
        return Math.min(requestedTimeoutMs, route.route().deadlineS() * MILLIS_PER_SECOND);
    }

    // The timeout that the client asks for; NaN if it can't be parsed.
    private static double requestedTimeoutMs(HttpRequest head) {
        String text = head.headers().get(ForwardedHeaders.DEADLINE_MS);
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
}
