package whinlead.mesh.sidecar;

import whinlead.membership.EndpointList;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.log.Event;
import whinlead.mesh.control.ConfigCodec;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;

/**
 * A sidecar's ties to the offices: says what it lists, asks with the configuration that it has, and takes a
 * newer one. It never goes back. On its loop's thread; configurations are read on another.
 */
final class ControlClient {
    /** Longer until it is given up than an idle tie goes without a ping. */
    private static final ReconnectingConnection.Pace PACE = new ReconnectingConnection.Pace(300, 900, 3000, 150);
    /** Until another office is asked for what one has not sent, in milliseconds. */
    private static final double FETCH_MS = 500;
    private static final int OFFICES_MOST = 16;
    /** The same for an office that could confirm what another has sent, where nothing is in force yet. */
    private static final double CONFIRM_MS = 200;
    /** Without an office in reach, or one that confirms, another sidecar is asked for offices so often. */
    private static final double SEEK_MS = 1000;
    private static final double NANOS = 1e6;

    private final EventLoop loop;
    private final NodeSettings card;
    private final PeerMessage.Hello hello;
    private final UnaryOperator<InetSocketAddress> dials;
    private final Owner owner;
    private final ConfigReader reader = new ConfigReader();
    private final ExecutorService reading = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "reader");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, ReconnectingConnection> offices = new LinkedHashMap<>();
    private final Map<ReconnectingConnection, Long> noticed = new HashMap<>();
    private RoutingTable routing;
    private Decision newest;
    private StartupConfig beginning = new StartupConfig();
    private double fetchAt = Double.NEGATIVE_INFINITY;
    private double seekAt;
    private final DemandReports reports = new DemandReports();
    private ReconnectingConnection seeking;

    /** Hears what the offices say. */
    interface Owner {
        /** Listings, old and new. */
        void posted(List<EndpointRecord> listings);

        /** Where other sidecars are. */
        List<String> others();

        /** An office has come into reach. */
        void officeUp();

        /** A newer configuration is in force. */
        void inForce(RoutingTable routing);

        /** What all sidecars are asked for. */
        void sums(int nodes, List<TenantDemand> totals);
    }

    /** A desk that dials what {@code dials} makes of an address. */
    ControlClient(EventLoop loop, NodeSettings card, PeerMessage.Hello hello, UnaryOperator<InetSocketAddress> dials, Owner owner) {
        this.loop = loop;
        this.card = card;
        this.hello = hello;
        this.dials = dials;
        this.owner = owner;
    }

    void start() {
        seekAt = now();
        seeds(card.network().seeds());
    }

    /** Offices to ask as well. */
    void seeds(List<String> seeds) {
        seeds.forEach(s -> know(s.substring(0, Math.max(0, s.lastIndexOf(':')))));
    }

    /** The configuration in force, or null. */
    RoutingTable routing() {
        return routing;
    }

    /** Says listings to all offices in reach. */
    void post(List<EndpointRecord> listings) {
        PeerMessage.Post post = new PeerMessage.Post(listings);
        offices.values().forEach(t -> t.send(post));
    }

    /** Tells offices in reach what is asked for here, where it is due, and asks the first for the sums. */
    void uses(List<TenantDemand> uses) {
        DemandReports.Audience audience = reports.next(!uses.isEmpty());
        if (audience == DemandReports.Audience.NONE) {
            return;
        }
        boolean wanted = true;
        for (ReconnectingConnection tie : offices.values()) {
            if (tie.up() && (wanted || audience == DemandReports.Audience.ALL)) {
                tie.send(new PeerMessage.Uses(uses, wanted));
                wanted = false;
            }
        }
    }

    private static double now() {
        return System.nanoTime() / NANOS;
    }

    private long slot() {
        return newest == null ? -1 : newest.slot();
    }

    /** The addresses of offices that are known. */
    List<String> addresses() {
        return List.copyOf(offices.keySet());
    }

    private void know(String ip) {
        if (ip.isEmpty() || offices.containsKey(ip)) {
            return;
        }
        if (offices.size() >= OFFICES_MOST) {
            offices.entrySet().stream().filter(e -> !e.getValue().up()).findFirst()
                    .ifPresent(e -> drop(e.getKey()));
        }
        if (offices.size() >= OFFICES_MOST) {
            return;
        }
        ReconnectingConnection tie = new ReconnectingConnection(loop, dials.apply(new InetSocketAddress(ip, card.network().talkPort())), hello,
                PACE, new ReconnectingConnection.Owner() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        if (t.state() == ReconnectingConnection.State.UP && before == ReconnectingConnection.State.DIALLING) {
                            Event.OFFICE_UP.log(ip);
                            owner.officeUp();
                            t.send(new PeerMessage.Ask(slot()));
                        } else if (t.state() == ReconnectingConnection.State.DOWN && before != ReconnectingConnection.State.DIALLING) {
                            Event.OFFICE_DOWN.log(ip);
                            noticed.remove(t);
                        }
                    }

                    @Override
                    public void letter(ReconnectingConnection t, PeerMessage letter) {
                        came(t, letter);
                    }

                    @Override
                    public boolean waits() {
                        return newest == null || noticed.getOrDefault(offices.get(ip), -1L) > slot();
                    }
                });
        offices.put(ip, tie);
        tie.dial();
    }

    private void came(ReconnectingConnection tie, PeerMessage letter) {
        if (letter instanceof PeerMessage.Post post) {
            owner.posted(post.listings());
        } else if (letter instanceof PeerMessage.Notice notice) {
            noticed.put(tie, notice.slot());
            fetch();
        } else if (letter instanceof PeerMessage.News news) {
            offered(news);
        } else if (letter instanceof PeerMessage.Sums sums) {
            owner.sums(sums.nodes(), sums.totals());
        }
    }

    void tick() {
        fetch();
        if (newest == null) {
            begin(beginning.waited(now()));
        }
        seek();
    }

    // What is in force here never goes back, and a decision is one whoever tells it; but where nothing is in
    // force yet, an office that is cut off must not be the one to begin with while a better one can be reached.
    private void offered(PeerMessage.News news) {
        if (newest != null) {
            take(news.decision());
            return;
        }
        fetchAt = now() - FETCH_MS + CONFIRM_MS;
        news.decision().electors().forEach(e -> know(ConsensusNode.address(e)));
        begin(beginning.offered(now(), news.decision(), news.confirmed()));
    }

    private void begin(Decision decision) {
        if (decision != null) {
            take(decision);
        }
    }

    // Offices beyond those known: other sidecars may know them where all have changed since.
    private void seek() {
        boolean reached = offices.values().stream().anyMatch(ReconnectingConnection::up)
                && !(newest == null && beginning.unconfirmed());
        if (reached) {
            seekAt = now();
        } else if (now() - seekAt > SEEK_MS) {
            seekAt = now();
            List<String> others = owner.others();
            if (!others.isEmpty()) {
                ask(others.get((int) (Math.random() * others.size())));
            }
        }
    }

    private void ask(String node) {
        if (seeking != null) {
            seeking.close();
        }
        seeking = new ReconnectingConnection(loop, dials.apply(EndpointList.address(node)), hello, PACE, new ReconnectingConnection.Owner() {
            @Override
            public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                if (t.state() == ReconnectingConnection.State.UP) {
                    t.send(new PeerMessage.Seek());
                }
            }

            @Override
            public void letter(ReconnectingConnection t, PeerMessage letter) {
                if (letter instanceof PeerMessage.Offices told) {
                    told.addresses().forEach(ControlClient.this::know);
                    t.close();
                }
            }
        });
        seeking.dial();
    }

    private void fetch() {
        if (now() - fetchAt < FETCH_MS) {
            return;
        }
        List<ReconnectingConnection> have = new ArrayList<>();
        noticed.forEach((tie, slot) -> {
            if (slot > slot() && tie.up()) {
                have.add(tie);
            }
        });
        if (!have.isEmpty()) {
            fetchAt = now();
            have.get((int) (Math.random() * have.size())).send(new PeerMessage.Fetch());
        }
    }

    private void take(Decision decision) {
        fetchAt = newest == null ? fetchAt : Double.NEGATIVE_INFINITY;
        if (decision.slot() <= slot()) {
            return;
        }
        boolean same = newest != null && newest.version() == decision.version();
        newest = decision;
        PeerMessage.Ask ask = new PeerMessage.Ask(decision.slot());
        offices.values().forEach(t -> t.send(ask));
        decision.electors().forEach(e -> know(ConsensusNode.address(e)));
        forget(decision);
        if (same && routing != null) {
            return;
        }
        reading.execute(() -> read(decision));
    }

    // Offices that are no longer among the electors go, unless they are heard of.
    private void forget(Decision decision) {
        List<String> electors = decision.electors().stream().map(ConsensusNode::address).toList();
        for (String ip : List.copyOf(offices.keySet())) {
            if (!electors.contains(ip) && !offices.get(ip).up()) {
                drop(ip);
            }
        }
    }

    private void drop(String ip) {
        ReconnectingConnection tie = offices.remove(ip);
        noticed.remove(tie);
        tie.close();
    }

    private void read(Decision decision) {
        try {
            MeshConfig tariff = reader.read(ConfigCodec.inflate(decision.body()));
            RoutingTable made = new RoutingTable(decision.slot(), tariff);
            loop.execute(() -> {
                if (routing == null || made.slot() > routing.slot()) {
                    routing = made;
                    Event.IN_FORCE.log("version " + tariff.epoch() + " slot " + made.slot());
                    owner.inForce(made);
                }
            });
        } catch (IOException | InvalidConfigException e) {
            Event.UNREADABLE.log(e.getMessage());
        }
    }
}
