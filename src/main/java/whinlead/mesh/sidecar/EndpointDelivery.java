package whinlead.mesh.sidecar;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;

/**
 * Delivers requests from this sidecar and from others to the endpoint beside it: asks the gate whether each may go to
 * the endpoint now, sends it, and reports its result once. Runs on the loop's thread.
 */
final class EndpointDelivery implements RequestForwarder.LocalEndpoint {
    private final Executor loop;
    private final Timers timers;
    private final String node;
    private final EndpointGate gate;
    private final EndpointConnections connections;
    private final KeyClient keys;
    private final double ownerDrainMs;
    private final EndpointRequests requests = new EndpointRequests();
    private final ForwardedTime forwardedTime = new ForwardedTime();

    /**
     * Creates the delivery to the endpoint of this gate.
     *
     * @param node this sidecar's node, used as the sender of its own requests
     * @param keys the keys that the endpoint owns, if its service is sharded by key
     * @param ownerDrainMs how long a draining owner of keys still gets their requests, since no other endpoint may run
     *     them
     */
    EndpointDelivery(
            Executor loop,
            Timers timers,
            String node,
            EndpointGate gate,
            EndpointConnections connections,
            KeyClient keys,
            double ownerDrainMs) {
        this.loop = loop;
        this.timers = timers;
        this.node = node;
        this.gate = gate;
        this.connections = connections;
        this.keys = keys;
        this.ownerDrainMs = ownerDrainMs;
    }

    @Override
    public void deliver(PeerMessage.ForwardRequest request, Consumer<PeerMessage> resultListener) {
        deliver(node, request, resultListener);
    }

    @Override
    public void cancel(PeerMessage.Cancel cancel) {
        requests.cancel(node, cancel);
    }

    /** Cancels a request that arrived on this connection; its client has disconnected. */
    void cancel(PeerConnection source, PeerMessage.Cancel cancel) {
        requests.cancel(source, cancel);
    }

    /** Records that this process is running; a long gap between calls shows that it was paused. */
    void recordRunning() {
        forwardedTime.recordRunning(timers.nowMs());
    }

    /** Delivers a request from another sidecar; its result is sent on the same connection if that is still open. */
    void deliverForwarded(PeerConnection source, PeerMessage.ForwardRequest request) {
        int remainingMs = forwardedTime.remainingMs(timers.nowMs(), source.transitClock(), request);
        if (remainingMs == 0) {
            // Its time ran out on the way and its caller has been answered, so it is not started.
            source.send(failure(request, PeerMessage.FailureReason.UNREACHED));
            return;
        }
        deliver(source, request.withLeft(remainingMs), result -> {
            if (source.isOpen()) {
                source.send(result);
            }
        });
    }

    private void deliver(Object sender, PeerMessage.ForwardRequest request, Consumer<PeerMessage> resultListener) {
        EndpointGate.Admission admission = admit(request);
        if (admission != EndpointGate.Admission.OPEN) {
            PeerMessage refusal = failure(request, reason(admission));
            // Not within the call: the caller has not yet recorded that it sent the request.
            loop.execute(() -> resultListener.accept(refusal));
            return;
        }
        gate.requestStarted(timers.nowMs());
        requests.requestStarting(sender, request.stream());
        EndpointConnections.SentRequest sentRequest = connections.send(request, gate.endpoint(), outcome -> {
            requests.requestEnded(sender, request.stream());
            gate.requestEnded(timers.nowMs(), outcome instanceof PeerMessage.ForwardResponse);
            resultListener.accept(addLoad(request, outcome));
        });
        requests.requestSent(sender, request.stream(), sentRequest);
    }

    // For sharded services the key is checked first: a sidecar that asks the wrong owner must not learn this
    // endpoint's load.
    private EndpointGate.Admission admit(PeerMessage.ForwardRequest request) {
        double nowMs = timers.nowMs();
        if (!keys.isSharded() || !request.target().equals(gate.target())) {
            return gate.admit(nowMs, request.target(), request.rank());
        }
        int key = ShardKey.fromHeaders(request.headers());
        if (key == ShardKey.NONE || !keys.admit(key)) {
            return EndpointGate.Admission.NOT_OWNER;
        }
        return gate.admit(nowMs, request.target(), request.rank(), ownerDrainMs);
    }

    private static PeerMessage.FailureReason reason(EndpointGate.Admission admission) {
        return switch (admission) {
            case FULL -> PeerMessage.FailureReason.FULL;
            case NOT_OWNER -> PeerMessage.FailureReason.NOT_OWNER;
            case MOVED, OPEN -> PeerMessage.FailureReason.MOVED;
        };
    }

    // The endpoint's result, with the endpoint's current load added.
    private PeerMessage addLoad(PeerMessage.ForwardRequest request, PeerMessage outcome) {
        if (outcome instanceof PeerMessage.ForwardResponse response) {
            return new PeerMessage.ForwardResponse(
                    response.stream(),
                    response.status(),
                    response.headers(),
                    response.body(),
                    gate.utilization(),
                    gate.perSecond());
        }
        return failure(request, ((PeerMessage.ForwardFailure) outcome).reason());
    }

    private PeerMessage.ForwardFailure failure(PeerMessage.ForwardRequest request, PeerMessage.FailureReason reason) {
        return new PeerMessage.ForwardFailure(request.stream(), reason, gate.utilization(), gate.perSecond());
    }
}
