package whinlead.mesh.sidecar;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/** A path that is a TCP connection, dialled again when it is lost. On its loop's thread. */
final class ConnectionPath implements PeerPath, ReconnectingConnection.Listener {
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(250, 700, 5000, 250);

    private final String node;
    private final PeerPath.Listener listener;
    private final ReconnectingConnection connection;

    /**
     * A path that is not yet dialled.
     *
     * @param node the other sidecar's, for the log
     */
    ConnectionPath(EventLoop loop, String node, SocketAddress address, PeerMessage hello, PeerPath.Listener listener) {
        this.node = node;
        this.listener = listener;
        this.connection = new ReconnectingConnection(loop, address, hello, TIMEOUTS, this);
    }

    @Override
    public void dial() {
        connection.dial();
    }

    @Override
    public ReconnectingConnection.State state() {
        return connection.state();
    }

    @Override
    public boolean send(PeerMessage message) {
        return connection.send(message);
    }

    @Override
    public void close() {
        connection.close();
    }

    @Override
    public void changed(ReconnectingConnection changed, ReconnectingConnection.State before) {
        boolean lost =
                before == ReconnectingConnection.State.UP && changed.state() != ReconnectingConnection.State.CLOSED;
        if (lost) {
            Event.PEER_DOWN.log(node + " " + changed.state());
        }
        listener.changed(changed.state(), before);
    }

    @Override
    public void message(ReconnectingConnection from, PeerMessage message) {
        listener.message(message);
    }

    @Override
    public boolean hasPendingRequests() {
        return listener.hasPendingRequests();
    }

    @Override
    public long stamp() {
        return listener.stamp();
    }
}
