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
import whinlead.mesh.quota.QuotaDecision;

/**
 * Where the clients and the endpoint of this machine send their requests: finds route, tenant and quota, and has the
 * service's balancer decide the rest. On its loop's thread.
 */
final class EgressListener implements ClientConnection.RequestHandler {
    /** Bodies that are held at a time, in bytes; beyond, clients are told to come back. */
    private static final long MAX_RESERVED_BYTES = 40L << 20;
    /** What holds before there is a configuration. */
    private static final MeshConfig.Limits DEFAULT_LIMITS = new MeshConfig.Limits(16384, 64 << 20, 3, 15);
    /** Until when to come back where no configuration is known yet, in milliseconds. */
    private static final double NO_CONFIG_RETRY_MS = 300;

    /** The same where nobody owns a request's key: it is about to be granted to someone. */
    private static final double NO_OWNER_RETRY_MS = 200;
    /** In place of a key, for a service whose endpoints run any request. */
    private static final int NOT_DIVIDED = -2;

    private static final int BACKLOG = 512;
    private static final double MILLIS_IN_SECOND = 1000;

    /** Finds a service's balancer. */
    interface Balancers {
        /** For requests with large bodies, or for the others. */
        ServiceBalancer of(String target, boolean large);

        /** For requests of this key, at a service that is divided by key; null if no owner is known. */
        default ServiceBalancer ofKey(String target, int key) {
            return null;
        }
    }

    private final EventLoop loop;
    private final Timers timers;
    private final Supplier<RoutingTable> routing;
    private final Balancers balancers;
    private final Supplier<String> service;
    private final IntSupplier sidecars;
    private final QuotaClient quota;
    private final RequestClasses classes;
    private final SplittableRandom random = new SplittableRandom();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Set<ClientExchange> exchanges = new LinkedHashSet<>();
    private final Set<QuotaAdmission> admissions = new LinkedHashSet<>();
    private long reservedBytes;
    private boolean leaving;
    private boolean refusing;

    /**
     * A listener that does not listen yet.
     *
     * @param routing the configuration in force, or null
     * @param service that of the endpoint beside this sidecar; empty where none is known
     * @param sidecars how many there are, as far as is known
     */
    EgressListener(
            EventLoop loop,
            Timers timers,
            Supplier<RoutingTable> routing,
            Balancers balancers,
            Supplier<String> service,
            IntSupplier sidecars,
            QuotaClient quota,
            RequestClasses classes) {
        this.loop = loop;
        this.timers = timers;
        this.routing = routing;
        this.balancers = balancers;
        this.service = service;
        this.sidecars = sidecars;
        this.quota = quota;
        this.classes = classes;
    }

    /** Begins to listen; the future fails if the address is taken. */
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
    void accept(Channel channel) {
        ClientConnection connection = new ClientConnection(this);
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        connection.on(channel);
    }

    /** Time passes: ends connections that are silent for too long. */
    void tick() {
        List.copyOf(connections).forEach(ClientConnection::tick);
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
        List.copyOf(admissions).forEach(QuotaAdmission::breakOff);
        List.copyOf(exchanges).forEach(ClientExchange::breakOff);
    }

    /** Requests that have not been answered. */
    int underWay() {
        return exchanges.size() + admissions.size();
    }

    /** Connections of clients. */
    int connections() {
        return connections.size();
    }

    @Override
    public MeshConfig.Limits limits() {
        RoutingTable inForce = routing.get();
        return inForce == null ? DEFAULT_LIMITS : inForce.config().limits();
    }

    @Override
    public boolean tryReserve(int bytes) {
        if (reservedBytes + bytes > MAX_RESERVED_BYTES) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    @Override
    public void release(int bytes) {
        reservedBytes -= bytes;
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
    public void handle(HttpRequest head, byte[] body, ClientConnection.PendingResponse response) {
        RoutingTable inForce = routing.get();
        if (inForce == null || refusing) {
            ClientExchange.refuse(response, HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
            return;
        }
        RoutingTable.NamedRoute route = inForce.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        if (route == null) {
            ClientExchange.refuse(response, HttpResponseStatus.NOT_FOUND);
            return;
        }
        String attempt = head.headers().get(ForwardedHeaders.ATTEMPT);
        double deadlineMs = deadlineMs(head);
        if (attempt == null || attempt.isEmpty() || Double.isNaN(deadlineMs)) {
            ClientExchange.refuse(response, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        RoutingTable.NamedTenant tenant = inForce.tenantOf(head.headers().get(ForwardedHeaders.KEY));
        if (tenant == null && !route.route().open() && inForce.requiresKeys()) {
            ClientExchange.refuse(response, HttpResponseStatus.UNAUTHORIZED);
            return;
        }
        double timeoutMs = Math.max(1, timeoutMs(route, deadlineMs) - response.readingMs());
        IncomingRequest request = new IncomingRequest(head, body, response, route, tenant, timers.now() + timeoutMs);
        if (tenant == null) {
            begin(request);
        } else {
            new QuotaAdmission(request).begin();
        }
    }

    /**
     * A request that is allowed by the configuration.
     *
     * @param tenant whose it is, or null
     * @param endAt when an answer is of no use any more, in milliseconds
     */
    private record IncomingRequest(
            HttpRequest head,
            byte[] body,
            ClientConnection.PendingResponse response,
            RoutingTable.NamedRoute route,
            RoutingTable.NamedTenant tenant,
            double endAt) {}

    /** A tenant's request, until it is known whether the tenant's limit has room for it. */
    private final class QuotaAdmission {
        private final IncomingRequest request;
        private Runnable cancelSearch = () -> {};

        private QuotaAdmission(IncomingRequest request) {
            this.request = request;
        }

        private void begin() {
            admissions.add(this);
            request.response().onGone(this::end);
            MeshConfig.Tenant limits = request.tenant().tenant();
            double aimMs = request.route().route().targetS() * MILLIS_IN_SECOND;
            cancelSearch =
                    quota.acquire(request.tenant().name(), limits.ratePerS(), limits.burst(), aimMs, this::decided);
        }

        private void decided(QuotaDecision decision) {
            admissions.remove(this);
            if (decision instanceof QuotaDecision.Refused refused) {
                ClientExchange.refuse(request.response(), HttpResponseStatus.TOO_MANY_REQUESTS, refused.retryAfterMs());
            } else if (refusing) {
                ClientExchange.refuse(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
            } else {
                EgressListener.this.begin(request);
            }
        }

        private void breakOff() {
            end();
            ClientExchange.refuse(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONFIG_RETRY_MS);
        }

        private void end() {
            admissions.remove(this);
            cancelSearch.run();
        }
    }

    private int sidecarCount() {
        return Math.max(1, sidecars.getAsInt());
    }

    private void begin(IncomingRequest request) {
        RoutingTable.NamedRoute route = request.route();
        RoutingTable.NamedTenant tenant = request.tenant();
        String target = route.service(random.nextDouble());
        RoutingTable inForce = routing.get();
        int key = inForce != null && inForce.isDivided(target)
                ? ShardKey.of(request.head().headers())
                : NOT_DIVIDED;
        if (key == ShardKey.NONE) {
            ClientExchange.refuse(request.response(), HttpResponseStatus.BAD_REQUEST);
            return;
        }
        boolean large = MeshConfig.INGEST.equals(route.route().kind());
        Supplier<ServiceBalancer> balancer =
                () -> key == NOT_DIVIDED ? balancers.of(target, large) : balancers.ofKey(target, key);
        if (balancer.get() == null) {
            ClientExchange.refuse(request.response(), HttpResponseStatus.SERVICE_UNAVAILABLE, NO_OWNER_RETRY_MS);
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
                service.get(),
                target,
                Math.max(1, request.endAt() - timers.now()),
                tenantRank == null ? route.route().rank() : tenantRank);
        exchanges.add(exchange);
        exchange.begin(balancer, classes, sidecarCount());
    }

    @Override
    public double timeoutMs(HttpRequest head) {
        RoutingTable inForce = routing.get();
        RoutingTable.NamedRoute route =
                inForce == null ? null : inForce.route(head.headers().get(HttpHeaderNames.HOST), head.uri());
        double deadlineMs = deadlineMs(head);
        return route == null || Double.isNaN(deadlineMs) ? Double.POSITIVE_INFINITY : timeoutMs(route, deadlineMs);
    }

    // How long the request may be held, from when its head was read.
    private static double timeoutMs(RoutingTable.NamedRoute route, double deadlineMs) {
        return Math.min(deadlineMs, route.route().deadlineS() * MILLIS_IN_SECOND);
    }

    // What the client allows; NaN where that can't be read.
    private static double deadlineMs(HttpRequest head) {
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
}
