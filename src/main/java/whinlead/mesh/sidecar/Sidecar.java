package whinlead.mesh.sidecar;

import whinlead.engine.Clock;
import whinlead.engine.Timers;
import whinlead.loop.LoopTimers;
import whinlead.membership.EndpointList;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.log.Event;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcServer;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.TimerGrid;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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

/**
 * A carrier: the sidecar of one auxiliary machine. It takes the requests that begin there, carries them to
 * the sidecar beside the endpoint that the module chose, and hands in those that are for its own endpoint.
 */
public final class Sidecar implements PeerConnection.Ear {
    private static final long TICK_MS = 100;
    /** How often an unchanged listing is said again, in milliseconds. */
    private static final double SAY_MS = 3000;
    /** How often the offices are told what is asked for here, in milliseconds. */
    private static final double USES_MS = 350;
    /** Services that modules are kept for. */
    private static final int DEPOTS_MOST = 256;
    private static final int BACKLOG = 512;
    private static final int NONE = 404;
    private static final double NANOS_IN_MILLI = 1e6;

    private final NodeSettings card;
    private final EventLoop loop;
    private final ObjectMapper mapper;
    private final Timers timers;
    /** On which the services' modules act together. */
    private final Timers beat;
    private final String node;
    private final PeerMessage.Hello greeting;
    private final EndpointGate hatch;
    private final EndpointConnections line;
    private final EndpointRequests requests = new EndpointRequests();
    private final ForwardedTime forwardedTime = new ForwardedTime();
    private final EndpointRegistry directory = new EndpointRegistry();
    private final Map<String, ServiceBalancer> depots = new HashMap<>();
    private final Map<String, ServiceBalancer> largeDepots = new HashMap<>();
    private final Map<String, RetryBudget> postage = new HashMap<>();
    private final RequestClasses classes = new RequestClasses();
    private final RequestForwarder round;
    private final EgressListener egress;
    private final OutdatedLists outdated;
    private final ControlClient desk;
    private final TenantQuota allowance;
    private long life = System.currentTimeMillis();
    private long seq;
    private double saidAt;
    private double usesAt;
    private boolean ready;
    private boolean leaving;

    /** A sidecar that has not begun. */
    public Sidecar(NodeSettings card, EventLoop loop, ObjectMapper mapper) {
        this(card, loop, mapper, UnaryOperator.identity());
    }

    /** One that dials what this makes of an office's or another sidecar's address. */
    public Sidecar(NodeSettings card, EventLoop loop, ObjectMapper mapper, UnaryOperator<InetSocketAddress> dials) {
        this.card = card;
        this.loop = loop;
        this.mapper = mapper;
        this.timers = new LoopTimers(loop, new Clock());
        this.beat = new AlignedTimers(timers, RequestClasses.period(), timers.now()
                + untilNext((long) RequestClasses.period()) / NANOS_IN_MILLI);
        this.node = NodeSettings.present(card.network().bind().ingress(), "Network.Bind.Ingress");
        this.hatch = new EndpointGate(card.substrate().heartbeatS() * 1000);
        this.line = new EndpointConnections(loop, EndpointList.address(NodeSettings.present(card.self().appAddr(),
                "Self.AppAddr")));
        this.greeting = new PeerMessage.Hello(node, false);
        this.round = new RequestForwarder(loop, node, new RequestForwarder.Local() {
            @Override
            public void deliver(PeerMessage.Parcel parcel, Consumer<PeerMessage> done) {
                Sidecar.this.deliver(node, parcel, done);
            }

            @Override
            public void cancel(PeerMessage.Cancel cancel) {
                requests.cancel(node, cancel);
            }
        }, greeting, address -> dials.apply(EndpointList.address(address)), this::reachChanged);
        this.outdated = new OutdatedLists(loop, directory, this::refresh);
        NodeSettings.Bounds bounds = card.clauses().bounds();
        this.allowance = new TenantQuota(timers.now(), bounds.quotaSlack(), bounds.quotaExcess(),
                bounds.quotaWindowS(), new SecureRandom().nextLong());
        this.desk = new ControlClient(loop, card, greeting, dials, new ControlClient.Owner() {
            @Override
            public void posted(List<EndpointRecord> listings) {
                Sidecar.this.posted(listings);
            }

            @Override
            public List<String> others() {
                return directory.all().stream().filter(l -> l.phase() != EndpointRecord.Phase.GONE
                        && !l.node().equals(node)).map(EndpointRecord::node).toList();
            }

            @Override
            public void officeUp() {
                desk().post(List.of(directory.of(node)));
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
        this.egress = new EgressListener(loop, timers, desk::routing, this::depot, this::service,
                directory::present, allowance, classes);
    }

    /**
     * Listens, and asks the offices.
     *
     * @throws InterruptedException if interrupted
     */
    public void start() throws InterruptedException {
        NodeSettings.Bind bind = card.network().bind();
        new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).childHandler(PeerConnection.handlers(this))
                .bind(EndpointList.address(node)).sync();
        new RpcServer(loop, mapper, this::run).listen(EndpointList.address(
                NodeSettings.present(bind.control(), "Network.Bind.Control"))).sync();
        new Readiness(loop, () -> ready && !leaving).listen(EndpointList.address(
                NodeSettings.present(bind.readiness(), "Network.Bind.Readiness"))).sync();
        egress.listen(EndpointList.address(NodeSettings.present(bind.egress(), "Network.Bind.Egress"))).sync();
        Event.STARTED.log("sidecar " + node + " of " + card.self().node());
        loop.execute(() -> {
            say(true);
            desk.start();
            loop.scheduleAtFixedRate(this::tick, untilNext(TICK_MS), TimeUnit.MILLISECONDS.toNanos(TICK_MS),
                    TimeUnit.NANOSECONDS);
        });
    }

    // Nanoseconds, on the grid of all of this process's timers.
    private static long untilNext(long periodMs) {
        return TimerGrid.untilNext(System.nanoTime(), TimeUnit.MILLISECONDS.toNanos(periodMs));
    }

    /** Other machines may be asked first from now on. */
    public void seeds(List<String> seeds) {
        desk.seeds(seeds);
    }

    /** Leaves: runs while the process ends on SIGTERM, on a thread of its own. */
    public void leave() {
        Shutdown shutdown = new Shutdown(timers, card.clauses().bounds().graceS(), egress, hatch::held);
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
        return hatch.target().isEmpty() && card.self().target() != null ? card.self().target()
                : hatch.target();
    }

    // Requests with large bodies have a depot of their own, which looks in this zone first: they are most of
    // the bytes between zones.
    private ServiceBalancer depot(String target, boolean large) {
        Map<String, ServiceBalancer> kind = large ? largeDepots : depots;
        ServiceBalancer known = kind.get(target);
        if (known == null) {
            if (kind.size() >= DEPOTS_MOST) {
                throw new IllegalStateException("over " + DEPOTS_MOST + " services");
            }
            NodeSettings.Bounds bounds = card.clauses().bounds();
            RetryBudget paid = postage.computeIfAbsent(target,
                    t -> new RetryBudget(bounds.retryRatio(), bounds.retrySlack()));
            known = new ServiceBalancer(beat, classes, card, directory.present(), new SecureRandom().nextLong(),
                    round, large ? card.self().zone() : null, paid);
            kind.put(target, known);
            known.update(directory.endpoints(target));
        }
        return known;
    }

    // Which services the node served is not looked up: reach changes seldom.
    private void reachChanged() {
        outdated.add(depots.keySet());
        outdated.add(largeDepots.keySet());
    }

    private void refresh(Set<String> services) {
        round.keep(directory);
        for (String service : services) {
            List<EndpointRecord> endpoints = directory.endpoints(service);
            Stream.of(depots, largeDepots).map(kind -> kind.get(service)).filter(Objects::nonNull)
                    .forEach(depot -> depot.update(endpoints));
        }
    }

    private void tick() {
        forwardedTime.running(timers.now());
        if (hatch.tick(timers.now())) {
            Event.ENDPOINT.log(hatch.endpoint() + " is silent");
            line.clear();
            say(true);
        }
        line.tick();
        egress.tick();
        desk.tick();
        say(false);
        if (timers.now() - usesAt > USES_MS) {
            usesAt = timers.now();
            desk.uses(allowance.uses(timers.now()));
        }
    }

    // --- what others say

    private void posted(List<EndpointRecord> listings) {
        for (EndpointRecord listing : listings) {
            if (listing.node().equals(node)) {
                if (listing.life() > life || listing.life() == life && listing.seq() > seq) {
                    // Someone holds an older life's word, or a rumour, for newer than this one's own.
                    life = listing.life();
                    seq = listing.seq();
                    say(true);
                }
            } else {
                outdated.merge(listing);
            }
        }
    }

    private ControlClient desk() {
        return desk;
    }

    private void inForce(RoutingTable routing) {
        if (!ready) {
            ready = true;
            Event.READY.log(node);
        }
        // Ahead of the first request: a new module and its endpoints take a moment.
        routing.tariff().services().keySet().stream().limit(DEPOTS_MOST).forEach(s -> depot(s, false));
    }

    private void say(boolean changed) {
        if (changed) {
            seq++;
            EndpointRecord mine = new EndpointRecord(node, life, seq, card.self().zone(), hatch.endpoint(), service(),
                    leaving ? EndpointRecord.Phase.DRAINING : hatch.phase(), hatch.capacity(),
                    hatch.warmMs(timers.now()));
            outdated.merge(mine);
        }
        if (changed || timers.now() - saidAt > SAY_MS) {
            saidAt = timers.now();
            desk.post(List.of(directory.of(node)));
        }
    }

    // --- the endpoint beside

    private void run(RpcCall order, Consumer<RpcResponse> answer) {
        if (order instanceof RpcCall.Beat beat) {
            if (beat.card() == null || beat.card().target() == null) {
                answer.accept(RpcResponse.not(400, "Target is missing"));
                return;
            }
            String before = hatch.endpoint();
            if (hatch.beat(timers.now(), beat.endpoint(), beat.card())) {
                if (!beat.endpoint().equals(before)) {
                    line.clear();
                }
                Event.ENDPOINT.log(beat.endpoint() + " of " + hatch.target() + " " + hatch.state());
                say(true);
            }
            answer.accept(RpcResponse.done());
        } else if (order instanceof RpcCall.Depart depart) {
            if (hatch.depart(depart.endpoint())) {
                Event.ENDPOINT.log(depart.endpoint() + " has left");
                line.clear();
                say(true);
            }
            answer.accept(RpcResponse.done());
        } else {
            answer.accept(RpcResponse.not(NONE, "operators call the offices"));
        }
    }

    private void deliver(Object sender, PeerMessage.Parcel parcel, Consumer<PeerMessage> done) {
        EndpointGate.Entry entry = hatch.enter(timers.now(), parcel.target(), parcel.rank());
        if (entry != EndpointGate.Entry.OPEN) {
            PeerMessage no = new PeerMessage.Returned(parcel.stream(), entry == EndpointGate.Entry.FULL ? PeerMessage.Why.FULL
                    : PeerMessage.Why.MOVED, hatch.util(), hatch.perSecond());
            // Not in the caller's own call: it has not noted yet that it sent.
            loop.execute(() -> done.accept(no));
            return;
        }
        hatch.began(timers.now());
        requests.begin(sender, parcel.stream());
        EndpointConnections.Sent sent = line.send(parcel, hatch.endpoint(), letter -> {
            requests.ended(sender, parcel.stream());
            hatch.ended(timers.now(), letter instanceof PeerMessage.Delivered);
            done.accept(letter instanceof PeerMessage.Delivered d ? new PeerMessage.Delivered(d.stream(), d.status(),
                    d.headers(), d.body(), hatch.util(), hatch.perSecond())
                    : new PeerMessage.Returned(parcel.stream(), ((PeerMessage.Returned) letter).why(), hatch.util(),
                            hatch.perSecond()));
        });
        requests.sent(sender, parcel.stream(), sent);
    }

    // --- other sidecars' links to this one

    @Override
    public void up(PeerConnection link) { }

    @Override
    public void down(PeerConnection link) { }

    @Override
    public void letter(PeerConnection link, PeerMessage letter) {
        if (letter instanceof PeerMessage.Ping ping) {
            forwardedTime.running(timers.now());
            link.transit().waited(timers.now(), ping.sentAt());
            link.send(new PeerMessage.Pong(ping.number(), node, -1));
        } else if (letter instanceof PeerMessage.Parcel parcel) {
            forwarded(link, parcel);
        } else if (letter instanceof PeerMessage.Cancel cancel) {
            requests.cancel(link, cancel);
        } else if (letter instanceof PeerMessage.Seek) {
            link.send(new PeerMessage.Offices(desk.addresses()));
        } else if (letter instanceof PeerMessage.Hello hello) {
            link.peer(hello.id());
            // A program without versions would not know what a greeting on a connection of its own means.
            if (link.version() > ProtocolVersion.UNVERSIONED) {
                link.send(greeting);
            }
        }
    }

    // What waited on its way until its time was up is not begun: its caller has been answered.
    private void forwarded(PeerConnection link, PeerMessage.Parcel parcel) {
        int left = forwardedTime.left(timers.now(), link.transit(), parcel);
        if (left == 0) {
            link.send(new PeerMessage.Returned(parcel.stream(), PeerMessage.Why.UNREACHED, hatch.util(),
                    hatch.perSecond()));
            return;
        }
        deliver(link, parcel.withLeft(left), answer -> {
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
