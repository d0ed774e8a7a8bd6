package whinlead.mesh.sidecar;

import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ReconnectingConnection;

/** A kept connection to another sidecar, as the forwarder of requests sees it; a seam for rigs without sockets. */
public interface PeerPath {
    /** Begins to keep it. */
    void dial();

    /** Its state. */
    ReconnectingConnection.State state();

    /** Sends a message; false if nothing of it was sent. */
    boolean send(PeerMessage message);

    /** Ends it for good. */
    void close();

    /** Hears of a path. */
    interface Listener {
        /** Its state has changed. */
        void changed(ReconnectingConnection.State now, ReconnectingConnection.State before);

        /** A message came. */
        void message(PeerMessage message);

        /** Whether something is waited for. */
        boolean hasPendingRequests();

        /** The present time for what is written now, in microseconds of a steady clock. */
        long stamp();
    }
}
