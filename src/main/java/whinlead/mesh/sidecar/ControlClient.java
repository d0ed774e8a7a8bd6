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
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A sidecar's connections to the control nodes: publishes its endpoint record, subscribes with the slot of the
 * configuration it has, and adopts newer ones. It never goes back to an older one. Runs on its loop's thread;
 * configurations are parsed on a thread of their own.
 */
final class ControlClient {
    /** An idle connection is pinged well before the time after which it is given up. */
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(300, 900, 3000, 150);
    /** How long after fetching a configuration from one control node the next one is asked, in milliseconds. */
    private static final double FETCH_RETRY_MS = 500;

    private static final int MAX_CONTROL_NODES = 16;
    /** The same while no configuration is in force, for a control node that could confirm what another has sent. */
    private static final double CONFIRM_RETRY_MS = 200;
    /**
     * Interval at which another sidecar is asked for control nodes while no control node is reachable, or none that
     * confirms, in milliseconds.
     */
    private static final double SEEK_INTERVAL_MS = 1000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final PeerMessage.Hello hello;
    private final UnaryOperator<InetSocketAddress> dialAddresses;
    private final QuotaClient quota;
    private final KeyClient keys;
    private final Listener listener;
    private final ConfigReader configReader = new ConfigReader();
    private final ExecutorService readExecutor = Executors.newSingleThreadExecutor(r -> {
        Thread t = new Thread(r, "reader");
        t.setDaemon(true);
        return t;
    });
    private final Map<String, ReconnectingConnection> controlNodes = new LinkedHashMap<>();
    private final Map<ReconnectingConnection, Long> announcedSlots = new HashMap<>();
    private RoutingTable routing;
    private Decision newestDecision;
    private StartupConfig startupConfig = new StartupConfig();
    private double lastFetchMs = Double.NEGATIVE_INFINITY;
    private double lastSeekMs;
    private ReconnectingConnection seekConnection;

    /** Receives events and updates from the control nodes. */
    interface Listener {
        /** Receives endpoint records, which may be new or already known. */
        void recordsReceived(List<EndpointRecord> records);

        /** The addresses of other sidecars. */
        List<String> otherSidecars();

        /** Called when a connection to a control node is up. */
        void controlNodeUp();

        /** A control node has told which departures of this sidecar's endpoints it has on disk. */
        void departuresStored(PeerMessage.DeparturesStored message);

        /** The control node at this address runs a version that stores no departures. */
        void controlNodeWithoutDepartures(String ip);

        /** A newer decision is known; it has these voters. */
        void votersChanged(List<String> voters);

        /** Receives the owners of keys. */
        void keyRoutesReceived(PeerMessage.KeyRoutesUpdate update);

        /** Called when a newer configuration is in force. */
        void configChanged(RoutingTable routing);
    }

    /** Creates a client that maps each address by {@code dialAddresses} before dialling it. */
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
        lastSeekMs = nowMs();
        addSeeds(settings.network().seeds());
    }

    /** Adds control nodes to connect to. */
    void addSeeds(List<String> seeds) {
        seeds.forEach(s -> addControlNode(s.substring(0, Math.max(0, s.lastIndexOf(':')))));
    }

    /** The configuration in force, or null. */
    RoutingTable routing() {
        return routing;
    }

    /** Sends endpoint records to all connected control nodes. */
    void publish(List<EndpointRecord> records) {
        broadcast(new PeerMessage.EndpointUpdate(records));
    }

    /** Sends a message to all connected control nodes. */
    void broadcast(PeerMessage message) {
        controlNodes.values().forEach(connection -> connection.send(message));
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    private long newestSlot() {
        return newestDecision == null ? -1 : newestDecision.slot();
    }

    /** The addresses of the known control nodes. */
    List<String> controlNodeAddresses() {
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
                    public void stateChanged(
                            ReconnectingConnection source, ReconnectingConnection.State previousState) {
                        if (source.state() == ReconnectingConnection.State.UP
                                && previousState == ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_UP.log(ip);
                            listener.controlNodeUp();
                            ControlConnection controlConnection = new ControlConnection(source);
                            quota.connected(ip, controlConnection);
                            keys.connected(ip, controlConnection);
                            source.send(new PeerMessage.Subscribe(newestSlot()));
                        } else if (source.state() == ReconnectingConnection.State.DOWN
                                && previousState != ReconnectingConnection.State.DIALLING) {
                            Event.CONTROL_NODE_DOWN.log(ip);
                            announcedSlots.remove(source);
                        }
                    }

                    @Override
                    public void messageReceived(ReconnectingConnection source, PeerMessage message) {
                        receive(ip, source, message);
                    }

                    @Override
                    public boolean hasPendingRequests() {
                        return newestDecision == null
                                || announcedSlots.getOrDefault(controlNodes.get(ip), -1L) > newestSlot();
                    }
                });
        controlNodes.put(ip, connection);
        connection.dial();
    }

    private void receive(String ip, ReconnectingConnection connection, PeerMessage message) {
        if (connection.version() < ProtocolVersion.DEPARTURES) {
            listener.controlNodeWithoutDepartures(ip);
        }
        if (message instanceof PeerMessage.EndpointUpdate update) {
            listener.recordsReceived(update.records());
        } else if (message instanceof PeerMessage.ConfigAvailable available) {
            announcedSlots.put(connection, available.slot());
            fetchIfNewer();
        } else if (message instanceof PeerMessage.ConfigUpdate update) {
            receiveConfig(update);
        } else if (message instanceof PeerMessage.QuotaLeaseGrant lease) {
            quota.leaseGranted(ip, lease.grant());
        } else if (message instanceof PeerMessage.QuotaTokenResponse token) {
            quota.tokenAnswered(token.response());
        } else if (message instanceof PeerMessage.KeyGrantorChanged) {
            keys.grantorChanged(ip);
        } else if (message instanceof PeerMessage.KeyLeaseGrant lease) {
            keys.leaseReceived(ip, lease.lease());
        } else if (message instanceof PeerMessage.KeyRoutesUpdate update) {
            listener.keyRoutesReceived(update);
        } else if (message instanceof PeerMessage.DeparturesStored stored) {
            listener.departuresStored(stored);
        }
    }

    void tick() {
        fetchIfNewer();
        if (newestDecision == null) {
            adoptIfPresent(startupConfig.candidateAfterWait(nowMs()));
        }
        seekControlNodesIfIsolated();
    }

    // The configuration in force never goes back, and a decision is valid whichever control node sends it. But while
    // no configuration is in force, an isolated control node must not supply the first one as long as a better one can
    // be reached.
    private void receiveConfig(PeerMessage.ConfigUpdate update) {
        if (newestDecision != null) {
            adopt(update.decision());
            return;
        }
        lastFetchMs = nowMs() - FETCH_RETRY_MS + CONFIRM_RETRY_MS;
        update.decision().voters().forEach(e -> addControlNode(ConsensusNode.address(e)));
        adoptIfPresent(startupConfig.offer(nowMs(), update.decision(), update.confirmed()));
    }

    private void adoptIfPresent(Decision decision) {
        if (decision != null) {
            adopt(decision);
        }
    }

    // If all control nodes have been replaced since, other sidecars may know the new ones.
    private void seekControlNodesIfIsolated() {
        boolean confirmedNodeInReach = controlNodes.values().stream().anyMatch(ReconnectingConnection::isUp)
                && !(newestDecision == null && startupConfig.hasCandidate());
        if (confirmedNodeInReach) {
            lastSeekMs = nowMs();
        } else if (nowMs() - lastSeekMs > SEEK_INTERVAL_MS) {
            lastSeekMs = nowMs();
            List<String> others = listener.otherSidecars();
            if (!others.isEmpty()) {
                seekFrom(others.get((int) (Math.random() * others.size())));
            }
        }
    }

    private void seekFrom(String sidecarNode) {
        if (seekConnection != null) {
            seekConnection.close();
        }
        seekConnection = new ReconnectingConnection(
                loop,
                dialAddresses.apply(EndpointList.address(sidecarNode)),
                hello,
                TIMEOUTS,
                new ReconnectingConnection.Listener() {
                    @Override
                    public void stateChanged(
                            ReconnectingConnection source, ReconnectingConnection.State previousState) {
                        if (source.state() == ReconnectingConnection.State.UP) {
                            source.send(new PeerMessage.FindControlNodes());
                        }
                    }

                    @Override
                    public void messageReceived(ReconnectingConnection source, PeerMessage message) {
                        if (message instanceof PeerMessage.ControlNodes found) {
                            found.addresses().forEach(ControlClient.this::addControlNode);
                            source.close();
                        }
                    }
                });
        seekConnection.dial();
    }

    private void fetchIfNewer() {
        if (nowMs() - lastFetchMs < FETCH_RETRY_MS) {
            return;
        }
        List<ReconnectingConnection> sources = new ArrayList<>();
        announcedSlots.forEach((connection, slot) -> {
            if (slot > newestSlot() && connection.isUp()) {
                sources.add(connection);
            }
        });
        if (!sources.isEmpty()) {
            lastFetchMs = nowMs();
            sources.get((int) (Math.random() * sources.size())).send(new PeerMessage.FetchConfig());
        }
    }

    private void adopt(Decision decision) {
        lastFetchMs = newestDecision == null ? lastFetchMs : Double.NEGATIVE_INFINITY;
        if (decision.slot() <= newestSlot()) {
            return;
        }
        boolean sameVersion = newestDecision != null && newestDecision.version() == decision.version();
        newestDecision = decision;
        listener.votersChanged(decision.voters());
        broadcast(new PeerMessage.Subscribe(decision.slot()));
        decision.voters().forEach(e -> addControlNode(ConsensusNode.address(e)));
        removeFormerVoters(decision);
        if (sameVersion && routing != null) {
            return;
        }
        readExecutor.execute(() -> readConfig(decision));
    }

    // Removes control nodes that are no longer voters, unless they are connected.
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

    /** A connection as the quota client and the key client use it. */
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

    private void readConfig(Decision decision) {
        try {
            MeshConfig meshConfig = configReader.read(ConfigCodec.inflate(decision.body()));
            RoutingTable table = new RoutingTable(decision.slot(), meshConfig);
            loop.execute(() -> {
                if (routing == null || table.slot() > routing.slot()) {
                    routing = table;
                    Event.CONFIG_IN_FORCE.log("version " + meshConfig.epoch() + " slot " + table.slot());
                    listener.configChanged(table);
                }
            });
        } catch (IOException | InvalidConfigException e) {
            Event.CONFIG_UNREADABLE.log(e.getMessage());
        }
    }
}
