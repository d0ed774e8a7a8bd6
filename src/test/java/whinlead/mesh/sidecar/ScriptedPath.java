package whinlead.mesh.sidecar;

import whinlead.mesh.wire.ReconnectingConnection;

/** A path to another sidecar whose state is what the test says; what it does with messages is its subclass's. */
abstract class ScriptedPath implements PeerPath {
    /** Hears of this path. */
    final PeerPath.Listener listener;

    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;

    ScriptedPath(PeerPath.Listener listener) {
        this.listener = listener;
    }

    /** Has the path go over to another state. */
    final void to(ReconnectingConnection.State next) {
        ReconnectingConnection.State before = state;
        state = next;
        listener.changed(next, before);
    }

    @Override
    public void dial() {
        to(ReconnectingConnection.State.DIALLING);
    }

    @Override
    public final ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public void close() {
        to(ReconnectingConnection.State.CLOSED);
    }
}
