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
 * The connections that a control node keeps to the other ones it knows of, by their address. Bounded: where there is no
 * room, one that is not connected makes room for a new one. On the loop's thread.
 */
final class ControlPeers {
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(300, 900, 1500, 150);
    /** Control nodes that are known at most, present and past. */
    private static final int MAX_PEERS = 16;

    /** Hears of the connections. */
    interface Listener {
        /** A connection changed its state, so there may be something to do. */
        void connectionChanged();

        /** What a peer is sent first on a new connection. */
        List<PeerMessage> greeting();

        /** A ping that left at this time, by the steady clock in milliseconds, was answered. */
        void pongReceived(double sentAt, PeerMessage.Pong pong);
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final UnaryOperator<InetSocketAddress> dialAddresses;
    private final PeerMessage.Hello hello;
    private final Listener listener;
    private final Map<String, ReconnectingConnection> connections = new LinkedHashMap<>();

    /**
     * No connections yet.
     *
     * @param dialAddresses gives the address to dial for that of a peer
     * @param id this control node's
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

    /** The host of an address HOST:PORT; empty where there is no port. */
    static String host(String address) {
        return address.substring(0, Math.max(0, address.lastIndexOf(':')));
    }

    /** Keeps a connection to the control node at this address from now on, if there is room. */
    void add(String ip) {
        if (ip.isEmpty() || ip.equals(settings.self().ip()) || connections.containsKey(ip)) {
            return;
        }
        if (connections.size() >= MAX_PEERS) {
            removeOneThatIsDown();
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

    private void removeOneThatIsDown() {
        connections.entrySet().stream()
                .filter(each -> !each.getValue().isUp())
                .findFirst()
                .ifPresent(each -> {
                    connections.remove(each.getKey());
                    each.getValue().close();
                });
    }

    /** The control node at this address has dialled this one, so it listens: dials it now if need be. */
    void listensNow(String ip) {
        add(ip);
        ReconnectingConnection connection = connections.get(ip);
        if (connection != null) {
            connection.dial();
        }
    }

    /** Sends a message to the control node at this address, now or never. */
    void send(String ip, PeerMessage message) {
        add(ip);
        ReconnectingConnection connection = connections.get(ip);
        if (connection != null) {
            connection.send(message);
        }
    }

    /** Sends a message to all that are connected. */
    void broadcast(PeerMessage message) {
        connections.values().forEach(connection -> connection.send(message));
    }

    private final class ConnectionListener implements ReconnectingConnection.Listener {
        @Override
        public void changed(ReconnectingConnection connection, ReconnectingConnection.State before) {
            listener.connectionChanged();
            if (connection.state() == ReconnectingConnection.State.UP
                    && before == ReconnectingConnection.State.DIALLING) {
                listener.greeting().forEach(connection::send);
            }
        }

        @Override
        public void message(ReconnectingConnection connection, PeerMessage message) {
            // The peer sends on its own connection to this control node; here only its pongs come.
        }

        @Override
        public void pongReceived(double sentAt, PeerMessage.Pong pong) {
            listener.pongReceived(sentAt, pong);
        }

        @Override
        public boolean alwaysPings() {
            return true;
        }
    }
}
