package whinlead.mesh.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * The connections that this control node maintains to the other known ones, by address. Bounded: if there is no room, a
 * peer that is not connected is removed for a new one. On the loop's thread.
 */
final class ControlPeers {
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(300, 900, 1500, 150);
    /** The maximum number of known control nodes, including former ones. */
    private static final int MAX_PEERS = 16;

    /** Is notified of events on the connections. */
    interface Listener {
        /** A connection changed its state, so there may be something to do. */
        void connectionChanged();

        /** The messages that a peer is sent first on a new connection. */
        List<PeerMessage> greeting();

        /** A peer sends the departures of endpoints that it knows. */
        void departuresReceived(PeerMessage.DepartureUpdate update);

        /** A ping sent at this time, by the steady clock in milliseconds, was answered. */
        void pongReceived(double sentAtMs, PeerMessage.Pong pong);
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final UnaryOperator<InetSocketAddress> dialAddresses;
    private final PeerMessage.Hello hello;
    private final Listener listener;
    private final Map<String, ReconnectingConnection> connections = new LinkedHashMap<>();

    /**
     * Peers without connections.
     *
     * @param dialAddresses maps a peer's address to the address to dial
     * @param id this control node's id
     */
    ControlPeers(
            EventLoop loop,
            NodeSettings settings,
            UnaryOperator<InetSocketAddress> dialAddresses,
            String id,
            Listener listener) {
        this.loop = loop;
        this.settings = settings;
        this.dialAddresses = dialAddresses;
        this.hello = new PeerMessage.Hello(id, true);
        this.listener = listener;
    }

    /** The host of an address HOST:PORT; empty if there is no port. */
    static String host(String address) {
        return address.substring(0, Math.max(0, address.lastIndexOf(':')));
    }

    /** Maintains a connection to the control node at this address from now on, if there is room. */
    void add(String ip) {
        if (ip.isEmpty() || ip.equals(settings.self().ip()) || connections.containsKey(ip)) {
            return;
        }
        if (connections.size() >= MAX_PEERS) {
            removeDisconnectedPeer();
        }
        if (connections.size() >= MAX_PEERS) {
            return;
        }
        InetSocketAddress address = new InetSocketAddress(ip, settings.network().peerPort());
        ReconnectingConnection connection = new ReconnectingConnection(
                loop, dialAddresses.apply(address), hello, TIMEOUTS, new ConnectionListener());
        connections.put(ip, connection);
        connection.dial();
    }

    private void removeDisconnectedPeer() {
        connections.entrySet().stream()
                .filter(entry -> !entry.getValue().isUp())
                .findFirst()
                .ifPresent(entry -> {
                    connections.remove(entry.getKey());
                    entry.getValue().close();
                });
    }

    /**
     * The control node at this address has dialled this one and therefore listens: dials it now unless it is connected.
     */
    void peerIsListening(String ip) {
        add(ip);
        ReconnectingConnection connection = connections.get(ip);
        if (connection != null) {
            connection.dial();
        }
    }

    /** Sends a message to the control node at this address, at once or not at all. */
    void send(String ip, PeerMessage message) {
        add(ip);
        ReconnectingConnection connection = connections.get(ip);
        if (connection != null) {
            connection.send(message);
        }
    }

    /** Sends a message to all connected peers. */
    void broadcast(PeerMessage message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    private final class ConnectionListener implements ReconnectingConnection.Listener {
        @Override
        public void stateChanged(ReconnectingConnection connection, ReconnectingConnection.State before) {
            listener.connectionChanged();
            if (connection.state() == ReconnectingConnection.State.UP
                    && before == ReconnectingConnection.State.DIALLING) {
                listener.greeting().forEach(connection::send);
            }
        }

        @Override
        public void messageReceived(ReconnectingConnection connection, PeerMessage message) {
            // Peers send other messages on the connections that they open; only pongs arrive on this one.
            if (message instanceof PeerMessage.DepartureUpdate update) {
                listener.departuresReceived(update);
            }
        }

        @Override
        public void pongReceived(double sentAtMs, PeerMessage.Pong pong) {
            listener.pongReceived(sentAtMs, pong);
        }

        @Override
        public boolean alwaysPings() {
            return true;
        }
    }
}
