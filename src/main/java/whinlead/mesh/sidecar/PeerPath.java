package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/**
 * A persistent connection to another sidecar, as the request forwarder uses it; an interface so that simulations work
 * without sockets.
 */
public interface PeerPath {
    /** Starts connecting; from then on the path reconnects by itself. */
    void dial();

    /** The state of the connection. */
    ReconnectingConnection.State state();

    /**
     * The protocol version that both sides use; certain once the other side has sent a message on the current
     * connection, and the lowest one before that.
     */
    int version();

    /** Sends a message; false if none of it was sent. */
    boolean send(PeerMessage message);

    /** Closes the path for good. */
    void close();

    /** Receives the events of a path. */
    interface Listener {
        /** Called when the state has changed. */
        void stateChanged(ReconnectingConnection.State newState, ReconnectingConnection.State previousState);

        /** Called when a message has arrived. */
        void messageReceived(PeerMessage message);

        /** Whether responses are awaited on this path. */
        boolean hasPendingRequests();

        /** The time to be sent in messages that are written now, in microseconds of a monotonic clock. */
        long timestampMicros();
    }
}
