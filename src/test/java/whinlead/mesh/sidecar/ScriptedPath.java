package whinlead.mesh.sidecar;

import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;

/** A path to another sidecar whose state the test sets; subclasses define what it does with messages. */
abstract class ScriptedPath implements PeerPath {
    /** Receives the events of this path. */
    final PeerPath.Listener listener;

    private ReconnectingConnection.State state = ReconnectingConnection.State.DOWN;

    ScriptedPath(PeerPath.Listener listener) {
        this.listener = listener;
    }

    /** Changes the state of the path. */
    final void changeState(ReconnectingConnection.State newState) {
        ReconnectingConnection.State previousState = state;
        state = newState;
        listener.stateChanged(newState, previousState);
    }

    @Override
    public int version() {
        return ProtocolVersion.SUPPORTED.newest();
    }

    @Override
    public void dial() {
        changeState(ReconnectingConnection.State.DIALLING);
    }

    @Override
    public final ReconnectingConnection.State state() {
        return state;
    }

    @Override
    public void close() {
        changeState(ReconnectingConnection.State.CLOSED);
    }
}
