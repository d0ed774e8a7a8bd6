package whinlead.mesh.sidecar;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.TenantDemand;
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
 * A sidecar: the sidecar of one auxiliary machine. It takes the requests that begin there, carries them to the sidecar
 * beside the endpoint that the module chose, and hands in those that are for its own endpoint.
 */
public final class Sidecar implements PeerConnection.MessageHandler {
    private static final long TICK_MS = 100;
    /** How often an unchanged endpoint record is said again, in milliseconds. */
    private static final double SAY_MS = 3000;
    /** How often the control nodes are told what is asked for here, in milliseconds. */
    private static final double USES_MS = 350;
    /** Services that modules are kept for. */
    private static final int MAX_BALANCERS = 256;

    private static final int BACKLOG = 512;
    private static final double NANOS_IN_MILLI = 1e6;

    private final NodeSettings nodeSettings;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final Timers timers;
    /** On which the services' modules act together. */
    private final Timers beat;

    private final String node;
    private final PeerMessage.Hello greeting;
    private final EndpointGate gate;
    private final EndpointConnections line;
    private final EndpointRequests requests = new EndpointRequests();
    private final ForwardedTime forwardedTime = new ForwardedTime();
    private final EndpointRegistry endpointRegistry = new EndpointRegistry();
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
    private final Map<String, ServiceBalancer> largeBalancers = new HashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final RequestClasses classes = new RequestClasses();
    private final RequestForwarder round;
    private final EgressListener egress;
    private final OutdatedLists outdated;
    private final ControlClient controlClient;
    private final TenantQuota allowance;
    private long life = System.currentTimeMillis();
    private long seq;
    private double saidAt;
    private double usesAt;
    private boolean ready;
    private boolean leaving;

    /** A sidecar that has not begun. */
    public Sidecar(NodeSettings nodeSettings, EventLoop loop, ObjectMapper mapper) {
        this(nodeSettings, loop, mapper, UnaryOperator.identity());
    }

    /** One that dials what this makes of a control node's or another sidecar's address. */
    public Sidecar(
            NodeSettings nodeSettings, EventLoop loop, ObjectMapper mapper, UnaryOperator<InetSocketAddress> dials) {
        this.nodeSettings = nodeSettings;
        this.loop = loop;
        this.mapper = mapper;
        this.timers = new LoopTimers(loop, new Clock());
        this.beat = new AlignedTimers(
                timers,
                RequestClasses.period(),
                timers.now() + untilNext((long) RequestClasses.period()) / NANOS_IN_MILLI);
        this.node = NodeSettings.present(nodeSettings.network().bind().ingress(), "Network.Bind.Ingress");
        this.gate = new EndpointGate(nodeSettings.substrate().heartbeatS() * 1000);
        this.line = new EndpointConnections(
                loop,
                EndpointList.address(NodeSettings.present(nodeSettings.self().appAddr(), "Self.AppAddr")));
        this.greeting = new PeerMessage.Hello(node, false);
        this.round = new RequestForwarder(
                loop,
                node,
                new RequestForwarder.LocalEndpoint() {
                    @Override
                    public void deliver(PeerMessage.ForwardRequest request, Consumer<PeerMessage> done) {
                        Sidecar.this.deliver(node, request, done);
                    }

                    @Override
                    public void cancel(PeerMessage.Cancel cancel) {
                        requests.cancel(node, cancel);
                    }
                },
                greeting,
                address -> dials.apply(EndpointList.address(address)),
                this::reachChanged);
        this.outdated = new OutdatedLists(loop, endpointRegistry, this::refresh);
        NodeSettings.Bounds bounds = nodeSettings.clauses().bounds();
        this.allowance = new TenantQuota(
                timers.now(),
                bounds.quotaSlack(),
                bounds.quotaExcess(),
                bounds.quotaWindowS(),
                new SecureRandom().nextLong());
        this.controlClient = new ControlClient(loop, nodeSettings, greeting, dials, new ControlClient.Listener() {
            @Override
            public void posted(List<EndpointRecord> records) {
                Sidecar.this.posted(records);
            }

            @Override
            public List<String> others() {
                return endpointRegistry.all().stream()
                        .filter(l -> l.phase() != EndpointRecord.Phase.GONE
                                && !l.node().equals(node))
                        .map(EndpointRecord::node)
                        .toList();
            }

            @Override
            public void controlNodeUp() {
                controlClient().post(List.of(endpointRegistry.of(node)));
            }

            @Override
            public void inForce(RoutingTable routing) {
                Sidecar.this.inForce(routing);
            }

            @Override
            public void sums(int nodes, List<TenantDemand> totals) {
                allowance.sums(timers.now(), nodes, totals);
            }
        });
        this.egress = new EgressListener(
                loop,
                timers,
                controlClient::routing,
                this::balancer,
                this::service,
                endpointRegistry::present,
                allowance,
                classes);
    }

    /**
     * Listens, and asks the control nodes.
     *
     * @throws InterruptedException if interrupted
     */
    public void start() throws InterruptedException {
        NodeSettings.Bind bind = nodeSettings.network().bind();
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(PeerConnection.handlers(this))
                .bind(EndpointList.address(node))
                .sync();
        new RpcServer(loop, mapper, this::run)
                .listen(EndpointList.address(NodeSettings.present(bind.control(), "Network.Bind.Control")))
                .sync();
        new Readiness(loop, () -> ready && !leaving)
                .listen(EndpointList.address(NodeSettings.present(bind.readiness(), "Network.Bind.Readiness")))
                .sync();
        egress.listen(EndpointList.address(NodeSettings.present(bind.egress(), "Network.Bind.Egress")))
                .sync();
        Event.STARTED.log("sidecar " + node + " of " + nodeSettings.self().node());
        loop.execute(() -> {
            say(true);
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
        Shutdown shutdown = new Shutdown(timers, nodeSettings.clauses().bounds().graceS(), egress, gate::held);
        loop.execute(() -> {
            leaving = true;
            Event.LEAVING.log(egress.underWay() + " requests under way");
            say(true);
            shutdown.begin();
        });
        try {
            shutdown.await();
            Event.ENDED.log(node);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String service() {
        return gate.target().isEmpty() && nodeSettings.self().target() != null
                ? nodeSettings.self().target()
                : gate.target();
    }

    // Requests with large bodies have a service balancer of their own, which looks in this zone first: they are most of
    // the bytes between zones.
    private ServiceBalancer balancer(String target, boolean large) {
        Map<String, ServiceBalancer> kind = large ? largeBalancers : balancers;
        ServiceBalancer known = kind.get(target);
        if (known == null) {
            if (kind.size() >= MAX_BALANCERS) {
                throw new IllegalStateException("over " + MAX_BALANCERS + " services");
            }
            NodeSettings.Bounds bounds = nodeSettings.clauses().bounds();
            RetryBudget paid = retryBudgets.computeIfAbsent(
                    target, t -> new RetryBudget(bounds.retryRatio(), bounds.retrySlack()));
            known = new ServiceBalancer(
                    beat,
                    classes,
                    nodeSettings,
                    endpointRegistry.present(),
                    new SecureRandom().nextLong(),
                    round,
                    large ? nodeSettings.self().zone() : null,
                    paid);
            kind.put(target, known);
            known.update(endpointRegistry.endpoints(target));
        }
        return known;
    }

    // Which services the node served is not looked up: reach changes seldom.
    private void reachChanged() {
        outdated.add(balancers.keySet());
        outdated.add(largeBalancers.keySet());
    }

    private void refresh(Set<String> services) {
        round.keep(endpointRegistry);
        for (String service : services) {
            List<EndpointRecord> endpoints = endpointRegistry.endpoints(service);
            Stream.of(balancers, largeBalancers)
                    .map(kind -> kind.get(service))
                    .filter(Objects::nonNull)
                    .forEach(balancer -> balancer.update(endpoints));
        }
    }

    private void tick() {
        forwardedTime.running(timers.now());
        if (gate.tick(timers.now())) {
            Event.ENDPOINT.log(gate.endpoint() + " is silent");
            line.clear();
            say(true);
        }
        line.tick();
        egress.tick();
        controlClient.tick();
        say(false);
        if (timers.now() - usesAt > USES_MS) {
            usesAt = timers.now();
            controlClient.uses(allowance.uses(timers.now()));
        }
    }

    // --- what others say

    private void posted(List<EndpointRecord> records) {
        for (EndpointRecord record : records) {
            if (record.node().equals(node)) {
                if (record.life() > life || record.life() == life && record.seq() > seq) {
                    // Someone holds an older life's word, or a rumour, for newer than this one's own.
                    life = record.life();
                    seq = record.seq();
                    say(true);
                }
            } else {
                outdated.merge(record);
            }
        }
    }

    private ControlClient controlClient() {
        return controlClient;
    }

    private void inForce(RoutingTable routing) {
        if (!ready) {
            ready = true;
            Event.READY.log(node);
        }
        // Ahead of the first request: a new module and its endpoints take a moment.
        routing.config().services().keySet().stream().limit(MAX_BALANCERS).forEach(s -> balancer(s, false));
    }

    private void say(boolean changed) {
        if (changed) {
            seq++;
            EndpointRecord mine = new EndpointRecord(
                    node,
                    life,
                    seq,
                    nodeSettings.self().zone(),
                    gate.endpoint(),
                    service(),
                    leaving ? EndpointRecord.Phase.DRAINING : gate.phase(),
                    gate.capacity(),
                    gate.warmMs(timers.now()));
            outdated.merge(mine);
        }
        if (changed || timers.now() - saidAt > SAY_MS) {
            saidAt = timers.now();
            controlClient.post(List.of(endpointRegistry.of(node)));
        }
    }

    // --- the endpoint beside

    private void run(RpcCall order, Consumer<RpcResponse> answer) {
        if (order instanceof RpcCall.Heartbeat beat) {
            if (beat.status() == null || beat.status().target() == null) {
                answer.accept(RpcResponse.error(HttpResponseStatus.BAD_REQUEST, "Target is missing"));
                return;
            }
            String before = gate.endpoint();
            if (gate.beat(timers.now(), beat.endpoint(), beat.status())) {
                if (!beat.endpoint().equals(before)) {
                    line.clear();
                }
                Event.ENDPOINT.log(beat.endpoint() + " of " + gate.target() + " " + gate.state());
                say(true);
            }
            answer.accept(RpcResponse.done());
        } else if (order instanceof RpcCall.Depart depart) {
            if (gate.depart(depart.endpoint())) {
                Event.ENDPOINT.log(depart.endpoint() + " has left");
                line.clear();
                say(true);
            }
            answer.accept(RpcResponse.done());
        } else {
            answer.accept(RpcResponse.error(HttpResponseStatus.NOT_FOUND, "operators call the control nodes"));
        }
    }

    private void deliver(Object sender, PeerMessage.ForwardRequest request, Consumer<PeerMessage> done) {
        EndpointGate.Admission entry = gate.enter(timers.now(), request.target(), request.rank());
        if (entry != EndpointGate.Admission.OPEN) {
            PeerMessage no = new PeerMessage.ForwardFailure(
                    request.stream(),
                    entry == EndpointGate.Admission.FULL
                            ? PeerMessage.FailureReason.FULL
                            : PeerMessage.FailureReason.MOVED,
                    gate.util(),
                    gate.perSecond());
            // Not in the caller's own call: it has not noted yet that it sent.
            loop.execute(() -> done.accept(no));
            return;
        }
        gate.began(timers.now());
        requests.begin(sender, request.stream());
        EndpointConnections.Sent sent = line.send(request, gate.endpoint(), message -> {
            requests.ended(sender, request.stream());
            gate.ended(timers.now(), message instanceof PeerMessage.ForwardResponse);
            done.accept(
                    message instanceof PeerMessage.ForwardResponse d
                            ? new PeerMessage.ForwardResponse(
                                    d.stream(), d.status(), d.headers(), d.body(), gate.util(), gate.perSecond())
                            : new PeerMessage.ForwardFailure(
                                    request.stream(),
                                    ((PeerMessage.ForwardFailure) message).why(),
                                    gate.util(),
                                    gate.perSecond()));
        });
        requests.sent(sender, request.stream(), sent);
    }

    // --- other sidecars' links to this one

    @Override
    public void up(PeerConnection link) {}

    @Override
    public void down(PeerConnection link) {}

    @Override
    public void message(PeerConnection link, PeerMessage message) {
        if (message instanceof PeerMessage.Ping ping) {
            forwardedTime.running(timers.now());
            link.transit().waited(timers.now(), ping.sentAt());
            link.send(new PeerMessage.Pong(ping.number(), node, -1));
        } else if (message instanceof PeerMessage.ForwardRequest request) {
            forwarded(link, request);
        } else if (message instanceof PeerMessage.Cancel cancel) {
            requests.cancel(link, cancel);
        } else if (message instanceof PeerMessage.FindControlNodes) {
            link.send(new PeerMessage.ControlNodes(controlClient.addresses()));
        } else if (message instanceof PeerMessage.Hello hello) {
            link.peer(hello.id());
            // A program without versions would not know what a greeting on a connection of its own means.
            if (link.version() > ProtocolVersion.UNVERSIONED) {
                link.send(greeting);
            }
        }
    }

    // What waited on its way until its time was up is not begun: its caller has been answered.
    private void forwarded(PeerConnection link, PeerMessage.ForwardRequest request) {
        int left = forwardedTime.left(timers.now(), link.transit(), request);
        if (left == 0) {
            link.send(new PeerMessage.ForwardFailure(
                    request.stream(), PeerMessage.FailureReason.UNREACHED, gate.util(), gate.perSecond()));
            return;
        }
        deliver(link, request.withLeft(left), answer -> {
            if (link.open()) {
                link.send(answer);
            }
        });
    }

    /** Where it takes requests for its endpoint. */
    public InetSocketAddress ingress() {
        return EndpointList.address(node);
    }
}
