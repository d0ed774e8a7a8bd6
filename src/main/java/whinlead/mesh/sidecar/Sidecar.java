package whinlead.mesh.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.keys.KeyTerms;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.quota.QuotaRules;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.TimerGrid;

/**
 * The sidecar of one auxiliary machine: creates its components and passes events between them. It accepts the requests
 * of this machine ({@link EgressListener}), lets the decision module of each service choose an endpoint
 * ({@link ServiceBalancers}), forwards each request to the sidecar beside that endpoint ({@link RequestForwarder}), and
 * delivers those for its own endpoint ({@link EndpointDelivery}). All state belongs to the loop.
 */
public final class Sidecar {
    private static final long TICK_MS = 100;
    /** How long the shutdown waits for the loop to release the leases, in milliseconds. */
    private static final long RELEASE_MS = 100;
    /** Maximum number of peer connections waiting to be accepted. */
    private static final int BACKLOG = 512;

    /** Fraction of an endpoint's drain time in which an owner of keys still gets their requests. */
    private static final double OWNER_DRAIN_FRACTION = 0.7;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1000;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final Timers timers;
    private final String node;
    private final PeerMessage.Hello hello;
    private final EndpointGate gate;
    private final EndpointConnections endpointConnections;
    private final KeyClient keys;
    private final EndpointDelivery delivery;
    private final EndpointRegistry registry = new EndpointRegistry();
    private final EndpointListRefresher listRefresher;
    private final RequestForwarder forwarder;
    private final ServiceBalancers balancers;
    private final QuotaClient quota;
    private final ControlClient controlClient;
    private final RecordPublisher recordPublisher;
    private final EndpointCalls endpointCalls;
    private final EgressListener egress;
    private boolean ready;

    /** Creates a sidecar that is not started yet. */
    public Sidecar(NodeSettings settings, EventLoop loop, ObjectMapper mapper) {
        this(settings, loop, mapper, UnaryOperator.identity());
    }

    /**
     * Creates a sidecar that is not started yet.
     *
     * @param dialAddresses maps the address of a control node or another sidecar to the address to dial
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
        this.hello = new PeerMessage.Hello(node, false);
        this.gate = new EndpointGate(settings.substrate().heartbeatS() * MILLIS_PER_SECOND);
        this.endpointConnections = new EndpointConnections(
                loop, EndpointList.address(NodeSettings.require(settings.self().appAddr(), "Self.AppAddr")));
        this.keys = keys();
        double ownerDrainMs = settings.clauses().bounds().drainS() * MILLIS_PER_SECOND * OWNER_DRAIN_FRACTION;
        BodyBudget bodyBudget = new BodyBudget();
        this.delivery =
                new EndpointDelivery(loop, timers, node, gate, endpointConnections, keys, ownerDrainMs, bodyBudget);
        this.forwarder = new RequestForwarder(
                loop,
                node,
                delivery,
                hello,
                address -> dialAddresses.apply(EndpointList.address(address)),
                this::reachabilityChanged);
        this.listRefresher = new EndpointListRefresher(loop, registry, this::refresh);
        RequestClasses classes = new RequestClasses();
        this.balancers = new ServiceBalancers(createPeriodTimers(), classes, settings, registry, forwarder);
        this.quota = quota();
        this.controlClient =
                new ControlClient(loop, settings, hello, dialAddresses, quota, keys, new ControlListener());
        this.recordPublisher = new RecordPublisher(
                timers,
                node,
                settings.self().zone(),
                gate,
                this::endpointService,
                registry,
                listRefresher,
                record -> controlClient.publish(List.of(record)));
        this.endpointCalls = new EndpointCalls(timers::nowMs, gate, controlClient::broadcast, new EndpointListener());
        this.egress = new EgressListener(
                loop,
                timers,
                controlClient::routing,
                balancers,
                this::endpointService,
                registry::presentCount,
                quota,
                classes,
                bodyBudget);
    }

    // The periods of all balancers are aligned, so that the process wakes up once for all of them.
    private Timers createPeriodTimers() {
        double periodMs = RequestClasses.periodMs();
        return new AlignedTimers(timers, periodMs, timers.nowMs() + nanosUntilNext((long) periodMs) / NANOS_PER_MILLI);
    }

    private KeyClient keys() {
        EndpointGrants grants = new EndpointGrants(
                loop, timers, EndpointList.address(settings.self().appAddr()));
        Double holdCapS = settings.clauses().bounds().holdCapS();
        double maxHoldMs = holdCapS == null ? KeyTerms.MAX_HOLD_MS : holdCapS * MILLIS_PER_SECOND;
        return new KeyClient(
                timers,
                gate,
                grants,
                this::isSharded,
                this::isDraining,
                maxHoldMs,
                new SecureRandom().nextLong() >>> 1);
    }

    private boolean isSharded(String target) {
        RoutingTable currentRouting = controlClient.routing();
        return currentRouting != null && currentRouting.isDivided(target);
    }

    private boolean isDraining() {
        return recordPublisher.isDraining();
    }

    private QuotaClient quota() {
        NodeSettings.Bounds bounds = settings.clauses().bounds();
        QuotaRules rules = new QuotaRules(bounds.quotaWindowS(), bounds.quotaExcess(), bounds.quotaSlack());
        return new QuotaClient(timers, new TenantQuota(rules, new SecureRandom().nextLong()), registry::presentCount);
    }

    /**
     * Starts listening and connects to the control nodes.
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
        new RpcServer(loop, mapper, endpointCalls::run)
                .listen(EndpointList.address(NodeSettings.require(bind.control(), "Network.Bind.Control")))
                .sync();
        new ReadinessServer(loop, () -> ready && !recordPublisher.isDraining())
                .listen(EndpointList.address(NodeSettings.require(bind.readiness(), "Network.Bind.Readiness")))
                .sync();
        egress.listen(EndpointList.address(NodeSettings.require(bind.egress(), "Network.Bind.Egress")))
                .sync();
        Event.STARTED.log("sidecar " + node + " of " + settings.self().node());
        loop.execute(() -> {
            recordPublisher.publishChange();
            controlClient.start();
            loop.scheduleAtFixedRate(
                    () -> GuardedTask.run(this::tick),
                    nanosUntilNext(TICK_MS),
                    TimeUnit.MILLISECONDS.toNanos(TICK_MS),
                    TimeUnit.NANOSECONDS);
        });
    }

    // Nanoseconds until the next tick, aligned with all timers of this process.
    private static long nanosUntilNext(long periodMs) {
        return TimerGrid.nanosUntilNext(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(periodMs));
    }

    /** Adds control nodes to connect to. */
    public void addSeeds(List<String> seeds) {
        controlClient.addSeeds(seeds);
    }

    /** Shuts the sidecar down; called on a separate thread while the process ends on SIGTERM. */
    public void shutDown() {
        Shutdown shutdown = new Shutdown(timers, settings.clauses().bounds().graceS(), egress, gate::inFlight);
        loop.execute(() -> {
            Event.LEAVING.log(egress.pendingCount() + " requests pending");
            recordPublisher.startDraining();
            shutdown.begin();
        });
        try {
            shutdown.await();
            loop.submit(() -> quota.setLeasesEnabled(false)).await(RELEASE_MS);
            Event.ENDED.log(node);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String endpointService() {
        return gate.target().isEmpty() && settings.self().target() != null
                ? settings.self().target()
                : gate.target();
    }

    // The services of the node are not looked up, because reachability changes rarely.
    private void reachabilityChanged() {
        listRefresher.markOutdated(balancers.services());
    }

    private void refresh(Set<String> services) {
        forwarder.closeRemovedRoutes(registry);
        balancers.refresh(services);
    }

    private void tick() {
        delivery.recordRunning();
        endpointCalls.tick();
        endpointConnections.tick();
        egress.tick();
        controlClient.tick();
        recordPublisher.republishIfDue();
        quota.tick();
        keys.tick();
    }

    /** The address on which the sidecar accepts requests for its endpoint. */
    public InetSocketAddress ingressAddress() {
        return EndpointList.address(node);
    }

    /** Receives events from the endpoint beside this sidecar. */
    private final class EndpointListener implements EndpointCalls.Listener {
        @Override
        public void endpointChanged(boolean sameEndpoint) {
            if (!sameEndpoint) {
                // Connections to the previous endpoint are of no use any more.
                endpointConnections.clear();
            }
            recordPublisher.publishChange();
            keys.tick();
        }

        @Override
        public void endpointPresent() {
            quota.setLeasesEnabled(!recordPublisher.isDraining());
        }

        @Override
        public void endpointLeft() {
            quota.setLeasesEnabled(false);
        }
    }

    /** Receives events from the control nodes. */
    private final class ControlListener implements ControlClient.Listener {
        @Override
        public void recordsReceived(List<EndpointRecord> records) {
            for (EndpointRecord each : records) {
                if (each.node().equals(node)) {
                    recordPublisher.supersede(each);
                } else {
                    listRefresher.merge(each);
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
        public void departuresStored(PeerMessage.DeparturesStored message) {
            endpointCalls.departures().stored(message);
        }

        @Override
        public void controlNodeWithoutDepartures(String ip) {
            endpointCalls.departures().withoutStore(ip);
        }

        @Override
        public void votersChanged(List<String> voters) {
            endpointCalls.departures().votersChanged(voters);
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
            balancers.configChanged(routing.config().services().keySet());
        }
    }

    /** Handles messages from other sidecars, on connections that they opened. */
    private final class PeerMessageHandler implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection connection) {}

        @Override
        public void disconnected(PeerConnection connection) {
            delivery.disconnected(connection);
        }

        @Override
        public void message(PeerConnection connection, PeerMessage message) {
            if (message instanceof PeerMessage.Ping ping) {
                delivery.recordRunning();
                connection.transitClock().waitedMs(timers.nowMs(), ping.sentAt());
                connection.send(new PeerMessage.Pong(ping.number(), node, -1));
            } else if (message instanceof PeerMessage.ForwardRequest request) {
                delivery.deliverForwarded(connection, request);
            } else if (message instanceof PeerMessage.ForwardRequestHead head) {
                delivery.deliverForwarded(connection, head);
            } else if (message instanceof PeerMessage.BodyPart part) {
                delivery.bodyPartReceived(connection, part);
            } else if (message instanceof PeerMessage.Cancel cancel) {
                delivery.cancel(connection, cancel);
            } else if (message instanceof PeerMessage.FindControlNodes) {
                connection.send(new PeerMessage.ControlNodes(controlClient.controlNodeAddresses()));
            } else if (message instanceof PeerMessage.Hello peerHello) {
                connection.peer(peerHello.id());
                // A peer without protocol versions would not expect a Hello on a connection that it opened.
                if (connection.version() > ProtocolVersion.UNVERSIONED) {
                    connection.send(hello);
                }
            }
        }
    }
}
