package whinlead.mesh.sidecar;

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
import whinlead.membership.EndpointList;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.control.ConfigCodec;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A sidecar's connections to the control nodes: says what it lists, asks with the configuration that it has, and takes
 * a newer one. It never goes back. On its loop's thread; configurations are read on another.
 */
final class ControlClient {
    /** Longer until it is given up than an idle connection goes without a ping. */
    private static final ReconnectingConnection.Timeouts PACE =
            new ReconnectingConnection.Timeouts(300, 900, 3000, 150);
    /** Until another control node is asked for what one has not sent, in milliseconds. */
    private static final double FETCH_MS = 500;

    private static final int MAX_CONTROL_NODES = 16;
    /** The same for a control node that could confirm what another has sent, where nothing is in force yet. */
    private static final double CONFIRM_MS = 200;
    /** Without a control node in reach, or one that confirms, another sidecar is asked for control nodes so often. */
    private static final double SEEK_MS = 1000;

    private static final double NANOS = 1e6;

    private final EventLoop loop;
    private final NodeSettings nodeSettings;
    private final PeerMessage.Hello hello;
    private final UnaryOperator<InetSocketAddress> dials;
    private final Listener owner;
    private final ConfigReader reader = new ConfigReader();
    private final ExecutorService reading = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "reader");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, ReconnectingConnection> controlNodes = new LinkedHashMap<>();
    private final Map<ReconnectingConnection, Long> noticed = new HashMap<>();
    private RoutingTable routing;
    private Decision newest;
    private StartupConfig beginning = new StartupConfig();
    private double fetchAt = Double.NEGATIVE_INFINITY;
    private double seekAt;
    private final DemandReports reports = new DemandReports();
    private ReconnectingConnection seeking;

    /** Hears what the control nodes say. */
    interface Listener {
        /** Endpoint records, old and new. */
        void recordsReceived(List<EndpointRecord> records);

        /** Where other sidecars are. */
        List<String> otherSidecars();

        /** A control node has come into reach. */
        void controlNodeUp();

        /** A newer configuration is in force. */
        void configChanged(RoutingTable routing);

        /** What all sidecars are asked for. */
        void demandTotals(int nodes, List<TenantDemand> totals);
    }

    /** A client that dials what {@code dials} makes of an address. */
    ControlClient(
            EventLoop loop,
            NodeSettings nodeSettings,
            PeerMessage.Hello hello,
            UnaryOperator<InetSocketAddress> dials,
            Listener owner) {
        this.loop = loop;
        this.nodeSettings = nodeSettings;
        this.hello = hello;
        this.dials = dials;
        this.owner = owner;
    }

    void start() {
        seekAt = now();
        seeds(nodeSettings.network().seeds());
    }

    /** Control nodes to ask as well. */
    void seeds(List<String> seeds) {
        seeds.forEach(s -> know(s.substring(0, Math.max(0, s.lastIndexOf(':')))));
    }

    /** The configuration in force, or null. */
    RoutingTable routing() {
        return routing;
    }

    /** Says endpoint records to all control nodes in reach. */
    void publish(List<EndpointRecord> records) {
        PeerMessage.EndpointUpdate post = new PeerMessage.EndpointUpdate(records);
        controlNodes.values().forEach(t -> t.send(post));
    }

    /** Tells control nodes in reach what is asked for here, where it is due, and asks the first for the sums. */
    void reportDemand(List<TenantDemand> uses) {
        DemandReports.Audience audience = reports.next(!uses.isEmpty());
        if (audience == DemandReports.Audience.NONE) {
            return;
        }
        boolean wanted = true;
        for (ReconnectingConnection connection : controlNodes.values()) {
            if (connection.isUp() && (wanted || audience == DemandReports.Audience.ALL)) {
                connection.send(new PeerMessage.DemandReport(uses, wanted));
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

    /** The addresses of control nodes that are known. */
    List<String> addresses() {
        return List.copyOf(controlNodes.keySet());
    }

    private void know(String ip) {
        if (ip.isEmpty() || controlNodes.containsKey(ip)) {
            return;
        }
        if (controlNodes.size() >= MAX_CONTROL_NODES) {
            controlNodes.entrySet().stream()
                    .filter(e -> !e.getValue().isUp())
                    .findFirst()
                    .ifPresent(e -> drop(e.getKey()));
        }
        if (controlNodes.size() >= MAX_CONTROL_NODES) {
            return;
        }
        ReconnectingConnection connection = new ReconnectingConnection(
                loop,
                dials.apply(new InetSocketAddress(ip, nodeSettings.network().peerPort())),
                hello,
                PACE,
                new ReconnectingConnection.Listener() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        if (t.state() == ReconnectingConnection.State.UP
                                && before == ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_UP.log(ip);
                            owner.controlNodeUp();
                            t.send(new PeerMessage.Subscribe(slot()));
                        } else if (t.state() == ReconnectingConnection.State.DOWN
                                && before != ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_DOWN.log(ip);
                            noticed.remove(t);
                        }
                    }

                    @Override
                    public void message(ReconnectingConnection t, PeerMessage message) {
                        came(t, message);
                    }

                    @Override
                    public boolean hasPendingRequests() {
                        return newest == null || noticed.getOrDefault(controlNodes.get(ip), -1L) > slot();
                    }
                });
        controlNodes.put(ip, connection);
        connection.dial();
    }

    private void came(ReconnectingConnection connection, PeerMessage message) {
        if (message instanceof PeerMessage.EndpointUpdate post) {
            owner.recordsReceived(post.records());
        } else if (message instanceof PeerMessage.ConfigAvailable notice) {
            noticed.put(connection, notice.slot());
            fetch();
        } else if (message instanceof PeerMessage.ConfigUpdate update) {
            offered(update);
        } else if (message instanceof PeerMessage.DemandSums sums) {
            owner.demandTotals(sums.nodes(), sums.totals());
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
    // force yet, a control node that is cut off must not be the one to begin with while a better one can be reached.
    private void offered(PeerMessage.ConfigUpdate update) {
        if (newest != null) {
            take(update.decision());
            return;
        }
        fetchAt = now() - FETCH_MS + CONFIRM_MS;
        update.decision().voters().forEach(e -> know(ConsensusNode.address(e)));
        begin(beginning.offered(now(), update.decision(), update.confirmed()));
    }

    private void begin(Decision decision) {
        if (decision != null) {
            take(decision);
        }
    }

    // Control nodes beyond those known: other sidecars may know them where all have changed since.
    private void seek() {
        boolean reached = controlNodes.values().stream().anyMatch(ReconnectingConnection::isUp)
                && !(newest == null && beginning.unconfirmed());
        if (reached) {
            seekAt = now();
        } else if (now() - seekAt > SEEK_MS) {
            seekAt = now();
            List<String> others = owner.otherSidecars();
            if (!others.isEmpty()) {
                ask(others.get((int) (Math.random() * others.size())));
            }
        }
    }

    private void ask(String node) {
        if (seeking != null) {
            seeking.close();
        }
        seeking = new ReconnectingConnection(
                loop, dials.apply(EndpointList.address(node)), hello, PACE, new ReconnectingConnection.Listener() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        if (t.state() == ReconnectingConnection.State.UP) {
                            t.send(new PeerMessage.FindControlNodes());
                        }
                    }

                    @Override
                    public void message(ReconnectingConnection t, PeerMessage message) {
                        if (message instanceof PeerMessage.ControlNodes told) {
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
        noticed.forEach((connection, slot) -> {
            if (slot > slot() && connection.isUp()) {
                have.add(connection);
            }
        });
        if (!have.isEmpty()) {
            fetchAt = now();
            have.get((int) (Math.random() * have.size())).send(new PeerMessage.FetchConfig());
        }
    }

    private void take(Decision decision) {
        fetchAt = newest == null ? fetchAt : Double.NEGATIVE_INFINITY;
        if (decision.slot() <= slot()) {
            return;
        }
        boolean same = newest != null && newest.version() == decision.version();
        newest = decision;
        PeerMessage.Subscribe ask = new PeerMessage.Subscribe(decision.slot());
        controlNodes.values().forEach(t -> t.send(ask));
        decision.voters().forEach(e -> know(ConsensusNode.address(e)));
        forget(decision);
        if (same && routing != null) {
            return;
        }
        reading.execute(() -> read(decision));
    }

    // Control nodes that are no longer among the voters go, unless they are heard of.
    private void forget(Decision decision) {
        List<String> voters =
                decision.voters().stream().map(ConsensusNode::address).toList();
        for (String ip : List.copyOf(controlNodes.keySet())) {
            if (!voters.contains(ip) && !controlNodes.get(ip).isUp()) {
                drop(ip);
            }
        }
    }

    private void drop(String ip) {
        ReconnectingConnection connection = controlNodes.remove(ip);
        noticed.remove(connection);
        connection.close();
    }

    private void read(Decision decision) {
        try {
            MeshConfig meshConfig = reader.read(ConfigCodec.inflate(decision.body()));
            RoutingTable made = new RoutingTable(decision.slot(), meshConfig);
            loop.execute(() -> {
                if (routing == null || made.slot() > routing.slot()) {
                    routing = made;
                    Event.IN_FORCE.log("version " + meshConfig.epoch() + " slot " + made.slot());
                    owner.configChanged(made);
                }
            });
        } catch (IOException | InvalidConfigException e) {
            Event.UNREADABLE.log(e.getMessage());
        }
    }
}
