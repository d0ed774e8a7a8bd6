package whinlead.mesh.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import whinlead.mesh.wire.PeerMessage;

/**
 * The requests of this sidecar and of others that are running at the endpoint beside it, so that they can be cancelled
 * and the rest of their bodies reaches them. Used by one thread.
 */
public final class EndpointRequests {
    /** The sender of a request, which is a peer connection or this sidecar, and the request's stream number there. */
    private record Key(Object sender, long stream) {}

    private final Map<Key, EndpointConnections.SentRequest> requests = new HashMap<>();
    /** The bodies that are still arriving from other sidecars. */
    private final Map<Key, BodyStream> arrivingBodies = new HashMap<>();

    /** Registers a request that is about to be sent; it may end before its handle is recorded. */
    public void requestStarting(Object sender, long stream) {
        requests.put(new Key(sender, stream), whileRunning -> {});
    }

    /** Records the handle by which the request can be cancelled. */
    public void requestSent(Object sender, long stream, EndpointConnections.SentRequest sentRequest) {
        requests.replace(new Key(sender, stream), sentRequest);
    }

    /** Removes a request that has ended; returns false if it had ended before. */
    public boolean requestEnded(Object sender, long stream) {
        arrivingBodies.remove(new Key(sender, stream));
        return requests.remove(new Key(sender, stream)) != null;
    }

    /** Registers the body of a request that is about to be sent. */
    public void bodyExpected(Object sender, long stream, BodyStream body) {
        arrivingBodies.put(new Key(sender, stream), body);
    }

    /**
     * Adds a part to the body of a request, unless the request has ended. A sender that sends more than it has credit
     * for, which no correct one does, has its request cancelled.
     *
     * @param maxBytes the most that may have arrived without having been passed on
     */
    public void bodyPartReceived(Object sender, PeerMessage.BodyPart part, int maxBytes) {
        Key key = new Key(sender, part.stream());
        BodyStream body = arrivingBodies.get(key);
        if (body == null) {
            return;
        }
        if (body.availableBytes() + part.bytes().length > maxBytes) {
            arrivingBodies.remove(key);
            requests.get(key).cancel(true);
            return;
        }
        if (part.last()) {
            arrivingBodies.remove(key);
        }
        body.append(part.bytes(), part.last());
    }

    /**
     * Cancels the requests of a sender whose bodies can't be completed, because the sender is not connected any more.
     */
    public void senderDisconnected(Object sender) {
        for (Key key : List.copyOf(arrivingBodies.keySet())) {
            if (key.sender == sender) {
                arrivingBodies.remove(key);
                requests.get(key).cancel(true);
            }
        }
    }

    /** Cancels a request whose client has disconnected. */
    public void cancel(Object sender, PeerMessage.Cancel cancel) {
        EndpointConnections.SentRequest sentRequest = requests.get(new Key(sender, cancel.stream()));
        if (sentRequest != null) {
            sentRequest.cancel(cancel.whileRunning());
        }
    }
}
