package whinlead.mesh.sidecar;

import java.util.HashMap;
import java.util.Map;
import whinlead.mesh.wire.PeerMessage;

/**
 * The requests of this sidecar and of others that are running at the endpoint beside it, so that they can be cancelled.
 * Used by one thread.
 */
public final class EndpointRequests {
    /** The sender of a request, which is a peer connection or this sidecar, and the request's stream number there. */
    private record Key(Object sender, long stream) {}

    private final Map<Key, EndpointConnections.SentRequest> requests = new HashMap<>();

    /** Registers a request that is about to be sent; it may end before its handle is recorded. */
    public void requestStarting(Object sender, long stream) {
        requests.put(new Key(sender, stream), whileRunning -> {});
    }

    /** Records the handle by which the request can be cancelled. */
    public void requestSent(Object sender, long stream, EndpointConnections.SentRequest sentRequest) {
        requests.replace(new Key(sender, stream), sentRequest);
    }

    /** Removes a request that has ended. */
    public void requestEnded(Object sender, long stream) {
        requests.remove(new Key(sender, stream));
    }

    /** Cancels a request whose client has disconnected. */
    public void cancel(Object sender, PeerMessage.Cancel cancel) {
        EndpointConnections.SentRequest sentRequest = requests.get(new Key(sender, cancel.stream()));
        if (sentRequest != null) {
            sentRequest.cancel(cancel.whileRunning());
        }
    }
}
