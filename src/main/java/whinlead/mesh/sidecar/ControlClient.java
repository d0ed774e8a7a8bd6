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
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A sidecar's connections to the control nodes: publishes its record, subscribes with the configuration that it has,
 * and adopts a newer one. It never goes back. On its loop's thread; configurations are read on another.
 */
final class ControlClient {
    /** Longer until it is given up than an idle connection goes without a ping. */
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(300, 900, 3000, 150);
    /** Until another control node is asked for what one has not sent, in milliseconds. */
    private static final double FETCH_RETRY_MS = 500;

    private static final int MAX_CONTROL_NODES = 16;
    /** The same for a control node that could confirm what another has sent, where nothing is in force yet. */
    private static final double CONFIRM_RETRY_MS = 200;
    /** Without a control node in reach, or one that confirms, another sidecar is asked for control nodes so often. */
    private static final double SEEK_INTERVAL_MS = 1000;

    private static final double NANOS_IN_MILLI = 1e6;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final PeerMessage.Hello hello;
    private final UnaryOperator<InetSocketAddress> dialAddresses;
    private final QuotaClient quota;
    private final KeyClient keys;
    private final Listener listener;
    private final ConfigReader reader = new ConfigReader();
    private final ExecutorService readExecutor = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "reader");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, ReconnectingConnection> controlNodes = new LinkedHashMap<>();
    private final Map<ReconnectingConnection, Long> announcedSlots = new HashMap<>();
    private RoutingTable routing;
    private Decision newest;
    private StartupConfig startup = new StartupConfig();
    private double fetchedAt = Double.NEGATIVE_INFINITY;
    private double soughtAt;
    private ReconnectingConnection seekConnection;

    /** Hears what the control nodes say. */
    interface Listener {
        /** Endpoint records, old and new. */
        void recordsReceived(List<EndpointRecord> records);

        /** Where other sidecars are. */
        List<String> otherSidecars();

        /** A control node has come into reach. */
        void controlNodeUp();

        /** Owners of keys. */
        void keyRoutesReceived(PeerMessage.KeyRoutesUpdate update);

        /** A newer configuration is in force. */
        void configChanged(RoutingTable routing);
    }

    /** A client that dials what {@code dialAddresses} makes of an address. */
    ControlClient(
            EventLoop loop,
            NodeSettings settings,
            PeerMessage.Hello hello,
            UnaryOperator<InetSocketAddress> dialAddresses,
            QuotaClient quota,
            KeyClient keys,
            Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.hello = hello;
        this.dialAddresses = dialAddresses;
        this.quota = quota;
        this.keys = keys;
        this.listener = listener;
    }

    void start() {
        soughtAt = now();
        seeds(settings.network().seeds());
    }

    /** Control nodes to ask as well. */
    void seeds(List<String> seeds) {
        seeds.forEach(s -> addControlNode(s.substring(0, Math.max(0, s.lastIndexOf(':')))));
    }

    /** The configuration in force, or null. */
    RoutingTable routing() {
        return routing;
    }

    /** Sends endpoint records to all control nodes in reach. */
    void publish(List<EndpointRecord> records) {
        PeerMessage.EndpointUpdate update = new PeerMessage.EndpointUpdate(records);
        controlNodes.values().forEach(t -> t.send(update));
    }

    private static double now() {
        return System.nanoTime() / NANOS_IN_MILLI;
    }

    private long slot() {
        return newest == null ? -1 : newest.slot();
    }

    /** The addresses of control nodes that are known. */
    List<String> addresses() {
        return List.copyOf(controlNodes.keySet());
    }

    private void addControlNode(String ip) {
        if (ip.isEmpty() || controlNodes.containsKey(ip)) {
            return;
        }
        if (controlNodes.size() >= MAX_CONTROL_NODES) {
            controlNodes.entrySet().stream()
                    .filter(e -> !e.getValue().isUp())
                    .findFirst()
                    .ifPresent(e -> removeControlNode(e.getKey()));
        }
        if (controlNodes.size() >= MAX_CONTROL_NODES) {
            return;
        }
        ReconnectingConnection connection = new ReconnectingConnection(
                loop,
                dialAddresses.apply(new InetSocketAddress(ip, settings.network().peerPort())),
                hello,
                TIMEOUTS,
                new ReconnectingConnection.Listener() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        if (t.state() == ReconnectingConnection.State.UP
                                && before == ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_UP.log(ip);
                            listener.controlNodeUp();
                            ControlConnection opened = new ControlConnection(t);
                            quota.connected(ip, opened);
                            keys.connected(ip, opened);
                            t.send(new PeerMessage.Subscribe(slot()));
                        } else if (t.state() == ReconnectingConnection.State.DOWN
                                && before != ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_DOWN.log(ip);
                            announcedSlots.remove(t);
                        }
                    }

                    @Override
                    public void message(ReconnectingConnection t, PeerMessage message) {
                        received(ip, t, message);
                    }

                    @Override
                    public boolean hasPendingRequests() {
                        return newest == null || announcedSlots.getOrDefault(controlNodes.get(ip), -1L) > slot();
                    }
                });
        controlNodes.put(ip, connection);
        connection.dial();
    }

    private void received(String ip, ReconnectingConnection connection, PeerMessage message) {
        if (message instanceof PeerMessage.EndpointUpdate update) {
            listener.recordsReceived(update.records());
        } else if (message instanceof PeerMessage.ConfigAvailable available) {
            announcedSlots.put(connection, available.slot());
            fetchIfNewer();
        } else if (message instanceof PeerMessage.ConfigUpdate update) {
            receivedConfig(update);
        } else if (message instanceof PeerMessage.QuotaLeaseGrant lease) {
            quota.granted(ip, lease.grant());
        } else if (message instanceof PeerMessage.QuotaTokenResponse token) {
            quota.answered(token.response());
        } else if (message instanceof PeerMessage.KeyGrantorChanged) {
            keys.grantorChanged(ip);
        } else if (message instanceof PeerMessage.KeyLeaseGrant lease) {
            keys.leased(ip, lease.lease());
        } else if (message instanceof PeerMessage.KeyRoutesUpdate update) {
            listener.keyRoutesReceived(update);
        }
    }

    void tick() {
        fetchIfNewer();
        if (newest == null) {
            begin(startup.waited(now()));
        }
        seekIfAlone();
    }

    // What is in force here never goes back, and a decision is one whoever tells it; but where nothing is in
    // force yet, a control node that is cut off must not be the one to begin with while a better one can be reached.
    private void receivedConfig(PeerMessage.ConfigUpdate update) {
        if (newest != null) {
            adopt(update.decision());
            return;
        }
        fetchedAt = now() - FETCH_RETRY_MS + CONFIRM_RETRY_MS;
        update.decision().voters().forEach(e -> addControlNode(ConsensusNode.address(e)));
        begin(startup.offered(now(), update.decision(), update.confirmed()));
    }

    private void begin(Decision decision) {
        if (decision != null) {
            adopt(decision);
        }
    }

    // Control nodes beyond those known: other sidecars may know them where all have changed since.
    private void seekIfAlone() {
        boolean reached = controlNodes.values().stream().anyMatch(ReconnectingConnection::isUp)
                && !(newest == null && startup.unconfirmed());
        if (reached) {
            soughtAt = now();
        } else if (now() - soughtAt > SEEK_INTERVAL_MS) {
            soughtAt = now();
            List<String> others = listener.otherSidecars();
            if (!others.isEmpty()) {
                seekFrom(others.get((int) (Math.random() * others.size())));
            }
        }
    }

    private void seekFrom(String node) {
        if (seekConnection != null) {
            seekConnection.close();
        }
        seekConnection = new ReconnectingConnection(
                loop,
                dialAddresses.apply(EndpointList.address(node)),
                hello,
                TIMEOUTS,
                new ReconnectingConnection.Listener() {
                    @Override
                    public void changed(ReconnectingConnection t, ReconnectingConnection.State before) {
                        if (t.state() == ReconnectingConnection.State.UP) {
                            t.send(new PeerMessage.FindControlNodes());
                        }
                    }

                    @Override
                    public void message(ReconnectingConnection t, PeerMessage message) {
                        if (message instanceof PeerMessage.ControlNodes found) {
                            found.addresses().forEach(ControlClient.this::addControlNode);
                            t.close();
                        }
                    }
                });
        seekConnection.dial();
    }

    private void fetchIfNewer() {
        if (now() - fetchedAt < FETCH_RETRY_MS) {
            return;
        }
        List<ReconnectingConnection> sources = new ArrayList<>();
        announcedSlots.forEach((connection, slot) -> {
            if (slot > slot() && connection.isUp()) {
                sources.add(connection);
            }
        });
        if (!sources.isEmpty()) {
            fetchedAt = now();
            sources.get((int) (Math.random() * sources.size())).send(new PeerMessage.FetchConfig());
        }
    }

    private void adopt(Decision decision) {
        fetchedAt = newest == null ? fetchedAt : Double.NEGATIVE_INFINITY;
        if (decision.slot() <= slot()) {
            return;
        }
        boolean same = newest != null && newest.version() == decision.version();
        newest = decision;
        PeerMessage.Subscribe seekFrom = new PeerMessage.Subscribe(decision.slot());
        controlNodes.values().forEach(t -> t.send(seekFrom));
        decision.voters().forEach(e -> addControlNode(ConsensusNode.address(e)));
        removeFormerVoters(decision);
        if (same && routing != null) {
            return;
        }
        readExecutor.execute(() -> read(decision));
    }

    // Control nodes that are no longer among the voters go, unless they are heard of.
    private void removeFormerVoters(Decision decision) {
        List<String> voters =
                decision.voters().stream().map(ConsensusNode::address).toList();
        for (String ip : List.copyOf(controlNodes.keySet())) {
            if (!voters.contains(ip) && !controlNodes.get(ip).isUp()) {
                removeControlNode(ip);
            }
        }
    }

    private void removeControlNode(String ip) {
        ReconnectingConnection connection = controlNodes.remove(ip);
        announcedSlots.remove(connection);
        quota.removed(ip);
        keys.removed(ip);
        connection.close();
    }

    /** What the clients of tenants' limits and of keys see of a connection. */
    private record ControlConnection(ReconnectingConnection connection)
            implements QuotaClient.Connection, KeyClient.Connection {
        @Override
        public boolean isUp() {
            return connection.isUp();
        }

        @Override
        public int version() {
            return connection.version();
        }

        @Override
        public void send(PeerMessage message) {
            connection.send(message);
        }
    }

    private void read(Decision decision) {
        try {
            MeshConfig meshConfig = reader.read(ConfigCodec.inflate(decision.body()));
            RoutingTable table = new RoutingTable(decision.slot(), meshConfig);
            loop.execute(() -> {
                if (routing == null || table.slot() > routing.slot()) {
                    routing = table;
                    Event.IN_FORCE.log("version " + meshConfig.epoch() + " slot " + table.slot());
                    listener.configChanged(table);
                }
            });
        } catch (IOException | InvalidConfigException e) {
            Event.UNREADABLE.log(e.getMessage());
        }
    }
}
