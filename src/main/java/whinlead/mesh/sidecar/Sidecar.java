package whinlead.mesh.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.keys.KeyTerms;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.QuotaRules;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.TimerGrid;

/**
 * The sidecar of one auxiliary machine: assembles its parts and carries events between them. It takes the requests that
 * begin there ({@link EgressListener}), has the decision module of each service choose an endpoint
 * ({@link ServiceBalancers}), forwards each to the sidecar beside it ({@link RequestForwarder}), and hands those that
 * are for its own endpoint in ({@link EndpointDelivery}). All state is the loop's.
 */
public final class Sidecar {
    private static final long TICK_MS = 100;
    /** How long the end waits for the loop to give up what is held, in milliseconds. */
    private static final long RELEASE_MS = 100;
    /** Connections of peers that wait to be accepted. */
    private static final int BACKLOG = 512;

    /** Of the time that an endpoint drains for, the part in which an owner of keys still gets their requests. */
    private static final double OWNER_DRAIN_PART = 0.7;

    private static final double NANOS_IN_MILLI = 1e6;
    private static final double MILLIS_IN_SECOND = 1000;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final Timers timers;
    private final String node;
    private final PeerMessage.Hello greeting;
    private final EndpointGate gate;
    private final EndpointConnections endpointConnections;
    private final KeyClient keys;
    private final EndpointDelivery delivery;
    private final EndpointRegistry registry = new EndpointRegistry();
    private final OutdatedLists outdatedLists;
    private final RequestForwarder forwarder;
    private final ServiceBalancers balancers;
    private final QuotaClient quota;
    private final ControlClient controlClient;
    private final RecordPublisher publisher;
    private final EgressListener egress;
    private boolean ready;

    /** A sidecar that has not begun. */
    public Sidecar(NodeSettings settings, EventLoop loop, ObjectMapper mapper) {
        this(settings, loop, mapper, UnaryOperator.identity());
    }

    /**
     * A sidecar that has not begun.
     *
     * @param dialAddresses gives the address to dial for that of a control node or another sidecar
     */
    public Sidecar(
            NodeSettings settings,
            EventLoop loop,
            ObjectMapper mapper,
            UnaryOperator<InetSocketAddress> dialAddresses) {
        this.settings = settings;
        this.loop = loop;
        this.mapper = mapper;
        this.timers = new LoopTimers(loop, new Clock());
        this.node = NodeSettings.require(settings.network().bind().ingress(), "Network.Bind.Ingress");
        this.greeting = new PeerMessage.Hello(node, false);
        this.gate = new EndpointGate(settings.substrate().heartbeatS() * MILLIS_IN_SECOND);
        this.endpointConnections = new EndpointConnections(
                loop, EndpointList.address(NodeSettings.require(settings.self().appAddr(), "Self.AppAddr")));
        this.keys = keys();
        double lastCallsMs = settings.clauses().bounds().drainS() * MILLIS_IN_SECOND * OWNER_DRAIN_PART;
        this.delivery = new EndpointDelivery(loop, timers, node, gate, endpointConnections, keys, lastCallsMs);
        this.forwarder = new RequestForwarder(
                loop,
                node,
                delivery,
                greeting,
                address -> dialAddresses.apply(EndpointList.address(address)),
                this::reachChanged);
        this.outdatedLists = new OutdatedLists(loop, registry, this::refresh);
        RequestClasses classes = new RequestClasses();
        this.balancers = new ServiceBalancers(periodTimers(), classes, settings, registry, forwarder);
        this.quota = quota();
        this.controlClient =
                new ControlClient(loop, settings, greeting, dialAddresses, quota, keys, new ControlListener());
        this.publisher = new RecordPublisher(
                timers,
                node,
                settings.self().zone(),
                gate,
                this::service,
                registry,
                outdatedLists,
                record -> controlClient.publish(List.of(record)));
        this.egress = new EgressListener(
                loop, timers, controlClient::routing, balancers, this::service, registry::presentCount, quota, classes);
    }

    // The balancers' periods begin together, so that the process wakes once for all of them.
    private Timers periodTimers() {
        double period = RequestClasses.period();
        return new AlignedTimers(timers, period, timers.now() + untilNext((long) period) / NANOS_IN_MILLI);
    }

    private KeyClient keys() {
        EndpointGrants grants = new EndpointGrants(
                loop, timers, EndpointList.address(settings.self().appAddr()));
        Double holdCapS = settings.clauses().bounds().holdCapS();
        double maxHoldMs = holdCapS == null ? KeyTerms.HOLD_MS : holdCapS * MILLIS_IN_SECOND;
        return new KeyClient(
                timers, gate, grants, this::isDivided, this::isLeaving, maxHoldMs, new SecureRandom().nextLong() >>> 1);
    }

    private boolean isDivided(String target) {
        RoutingTable inForce = controlClient.routing();
        return inForce != null && inForce.isDivided(target);
    }

    private boolean isLeaving() {
        return publisher.isLeaving();
    }

    private QuotaClient quota() {
        NodeSettings.Bounds bounds = settings.clauses().bounds();
        QuotaRules rules = new QuotaRules(bounds.quotaWindowS(), bounds.quotaExcess(), bounds.quotaSlack());
        return new QuotaClient(timers, new TenantQuota(rules, new SecureRandom().nextLong()), registry::presentCount);
    }

    /**
     * Listens, and asks the control nodes.
     *
     * @throws InterruptedException if interrupted
     */
    public void start() throws InterruptedException {
        NodeSettings.Bind bind = settings.network().bind();
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(PeerConnection.handlers(new PeerMessageHandler()))
                .bind(EndpointList.address(node))
                .sync();
        new RpcServer(loop, mapper, this::run)
                .listen(EndpointList.address(NodeSettings.require(bind.control(), "Network.Bind.Control")))
                .sync();
        new Readiness(loop, () -> ready && !publisher.isLeaving())
                .listen(EndpointList.address(NodeSettings.require(bind.readiness(), "Network.Bind.Readiness")))
                .sync();
        egress.listen(EndpointList.address(NodeSettings.require(bind.egress(), "Network.Bind.Egress")))
                .sync();
        Event.STARTED.log("sidecar " + node + " of " + settings.self().node());
        loop.execute(() -> {
            publisher.changed();
            controlClient.start();
            loop.scheduleAtFixedRate(
                    this::tick, untilNext(TICK_MS), TimeUnit.MILLISECONDS.toNanos(TICK_MS), TimeUnit.NANOSECONDS);
        });
    }

    // Nanoseconds, on the grid of all of this process's timers.
    private static long untilNext(long periodMs) {
        return TimerGrid.untilNext(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(periodMs));
    }

    /** Other machines may be asked first from now on. */
    public void seeds(List<String> seeds) {
        controlClient.seeds(seeds);
    }

    /** Leaves: runs while the process ends on SIGTERM, on a thread of its own. */
    public void leave() {
        Shutdown shutdown = new Shutdown(timers, settings.clauses().bounds().graceS(), egress, gate::inFlight);
        loop.execute(() -> {
            Event.LEAVING.log(egress.underWay() + " requests under way");
            publisher.leave();
            shutdown.begin();
        });
        try {
            shutdown.await();
            loop.submit(() -> quota.hold(false)).await(RELEASE_MS);
            Event.ENDED.log(node);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String service() {
        return gate.target().isEmpty() && settings.self().target() != null
                ? settings.self().target()
                : gate.target();
    }

    // Which services the node served is not looked up: reach changes seldom.
    private void reachChanged() {
        balancers.services().forEach(outdatedLists::add);
    }

    private void refresh(Set<String> services) {
        forwarder.retain(registry);
        balancers.refresh(services);
    }

    private void tick() {
        delivery.running();
        if (gate.tick(timers.now())) {
            Event.ENDPOINT.log(gate.endpoint() + " is silent");
            endpointChanged();
        }
        endpointConnections.tick();
        egress.tick();
        controlClient.tick();
        publisher.repeatIfDue();
        quota.tick();
        keys.tick();
    }

    // Connections to the endpoint that was there before are of no use any more.
    private void endpointChanged() {
        endpointConnections.clear();
        publisher.changed();
    }

    private void run(RpcCall call, Consumer<RpcResponse> respond) {
        if (call instanceof RpcCall.Heartbeat heartbeat) {
            respond.accept(heartbeat(heartbeat));
        } else if (call instanceof RpcCall.Depart depart) {
            if (gate.departed(depart.endpoint())) {
                Event.ENDPOINT.log(depart.endpoint() + " has left");
                quota.hold(false);
                endpointChanged();
                keys.tick();
            }
            respond.accept(RpcResponse.done());
        } else {
            respond.accept(RpcResponse.error(HttpResponseStatus.NOT_FOUND, "operators call the control nodes"));
        }
    }

    private RpcResponse heartbeat(RpcCall.Heartbeat heartbeat) {
        if (heartbeat.status() == null || heartbeat.status().target() == null) {
            return RpcResponse.error(HttpResponseStatus.BAD_REQUEST, "Target is missing");
        }
        String before = gate.endpoint();
        quota.hold(!publisher.isLeaving());
        if (gate.heartbeat(timers.now(), heartbeat.endpoint(), heartbeat.status())) {
            Event.ENDPOINT.log(heartbeat.endpoint() + " of " + gate.target() + " " + gate.state());
            if (heartbeat.endpoint().equals(before)) {
                publisher.changed();
            } else {
                endpointChanged();
            }
            keys.tick();
        }
        return RpcResponse.done();
    }

    /** Where it takes requests for its endpoint. */
    public InetSocketAddress ingress() {
        return EndpointList.address(node);
    }

    /** Hears of the control nodes. */
    private final class ControlListener implements ControlClient.Listener {
        @Override
        public void recordsReceived(List<EndpointRecord> records) {
            for (EndpointRecord each : records) {
                if (each.node().equals(node)) {
                    publisher.heard(each);
                } else {
                    outdatedLists.merge(each);
                }
            }
        }

        @Override
        public List<String> otherSidecars() {
            return registry.all().stream()
                    .filter(each -> each.phase() != EndpointRecord.Phase.GONE
                            && !each.node().equals(node))
                    .map(EndpointRecord::node)
                    .toList();
        }

        @Override
        public void keyRoutesReceived(PeerMessage.KeyRoutesUpdate update) {
            balancers.routesReceived(update.service(), update.routes());
        }

        @Override
        public void controlNodeUp() {
            controlClient.publish(List.of(registry.find(node)));
        }

        @Override
        public void configChanged(RoutingTable routing) {
            if (!ready) {
                ready = true;
                Event.READY.log(node);
            }
            // Ahead of the first request: a new module and its endpoints take a moment.
            routing.config().services().keySet().stream()
                    .limit(ServiceBalancers.MAX_SERVICES)
                    .forEach(service -> balancers.of(service, false));
        }
    }

    /** Takes what other sidecars send on connections of theirs. */
    private final class PeerMessageHandler implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection connection) {}

        @Override
        public void disconnected(PeerConnection connection) {}

        @Override
        public void message(PeerConnection connection, PeerMessage message) {
            if (message instanceof PeerMessage.Ping ping) {
                delivery.running();
                connection.transit().waited(timers.now(), ping.sentAt());
                connection.send(new PeerMessage.Pong(ping.number(), node, -1));
            } else if (message instanceof PeerMessage.ForwardRequest request) {
                delivery.forwarded(connection, request);
            } else if (message instanceof PeerMessage.Cancel cancel) {
                delivery.cancel(connection, cancel);
            } else if (message instanceof PeerMessage.FindControlNodes) {
                connection.send(new PeerMessage.ControlNodes(controlClient.addresses()));
            } else if (message instanceof PeerMessage.Hello hello) {
                connection.peer(hello.id());
                // A program without versions would not know what a greeting on a connection of its own means.
                if (connection.version() > ProtocolVersion.UNVERSIONED) {
                    connection.send(greeting);
                }
            }
        }
    }
}
