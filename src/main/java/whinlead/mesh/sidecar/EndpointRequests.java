package whinlead.mesh.sidecar;

import java.util.HashMap;
import java.util.Map;
import whinlead.mesh.wire.PeerMessage;

/**
 * The requests of other sidecars, and of this one, that are under way at the endpoint beside it, so that they can be
 * cancelled. One thread.
 */
public final class EndpointRequests {
    /** A request's sender, which is a link or this sidecar itself, and its number there. */
    private record Key(Object sender, long stream) {}

    private final Map<Key, EndpointConnections.Sent> requests = new HashMap<>();

    /** A request is about to be sent; it may end before {@link #sent}. */
    public void begin(Object sender, long stream) {
        requests.put(new Key(sender, stream), whileRunning -> {});
    }

    /** It was sent. */
    public void sent(Object sender, long stream, EndpointConnections.Sent sent) {
        requests.replace(new Key(sender, stream), sent);
    }

    /** It has ended. */
    public void ended(Object sender, long stream) {
        requests.remove(new Key(sender, stream));
    }

    /** Its client has left. */
    public void cancel(Object sender, PeerMessage.Cancel cancel) {
        EndpointConnections.Sent sent = requests.get(new Key(sender, cancel.stream()));
        if (sent != null) {
            sent.cancel(cancel.whileRunning());
        }
    }
}
