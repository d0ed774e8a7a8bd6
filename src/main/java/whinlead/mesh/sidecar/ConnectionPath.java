package whinlead.mesh.sidecar;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A path to another sidecar over a TCP connection, which is dialled again when it is lost. Runs on its loop's thread.
 */
final class ConnectionPath implements PeerPath, ReconnectingConnection.Listener {
    private static final ReconnectingConnection.Timeouts TIMEOUTS =
            new ReconnectingConnection.Timeouts(250, 700, 5000, 250);

    private final String node;
    private final PeerPath.Listener listener;
    private final ReconnectingConnection connection;

    /**
     * Creates a path that is not yet dialled.
     *
     * @param node the other sidecar's node, for the log
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
    public int version() {
        return connection.version();
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
    public void stateChanged(ReconnectingConnection source, ReconnectingConnection.State previousState) {
        boolean lost = previousState == ReconnectingConnection.State.UP
                && source.state() != ReconnectingConnection.State.CLOSED;
        if (lost) {
            Event.PEER_DOWN.log(node + " " + source.state());
        }
        listener.stateChanged(source.state(), previousState);
    }

    @Override
    public void messageReceived(ReconnectingConnection source, PeerMessage message) {
        listener.messageReceived(message);
    }

    @Override
    public boolean hasPendingRequests() {
        return listener.hasPendingRequests();
    }

    @Override
    public long sendingTimeMicros() {
        return listener.timestampMicros();
    }
}
