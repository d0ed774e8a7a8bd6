package whinlead.mesh.sidecar;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;

/**
 * Delivers requests from this sidecar and from others to the endpoint beside it: asks the gate whether each may go to
 * the endpoint now, sends it, and reports its result once. Runs on the loop's thread.
 */
final class EndpointDelivery implements RequestForwarder.LocalEndpoint {
    /** How much of a body another sidecar may have sent without its having been passed on, in bytes. */
    static final int BODY_WINDOW_BYTES = 512 << 10;

    private final Executor loop;
    private final Timers timers;
    private final String node;
    private final EndpointGate gate;
    private final EndpointConnections connections;
    private final KeyClient keys;
    private final double ownerDrainMs;
    private final BodyBudget bodyBudget;
    private final EndpointRequests requests = new EndpointRequests();
    private final ForwardedTime forwardedTime = new ForwardedTime();

    /**
     * Creates the delivery to the endpoint of this gate.
     *
     * @param node this sidecar's node, used as the sender of its own requests
     * @param keys the keys that the endpoint owns, if its service is sharded by key
     * @param ownerDrainMs how long a draining owner of keys still gets their requests, since no other endpoint may run
     *     them
     * @param bodyBudget limits the bodies that are held; a request that it has no room for is refused before it runs
     */
    EndpointDelivery(
            Executor loop,
            Timers timers,
            String node,
            EndpointGate gate,
            EndpointConnections connections,
            KeyClient keys,
            double ownerDrainMs,
            BodyBudget bodyBudget) {
        this.loop = loop;
        this.timers = timers;
        this.node = node;
        this.gate = gate;
        this.connections = connections;
        this.keys = keys;
        this.ownerDrainMs = ownerDrainMs;
        this.bodyBudget = bodyBudget;
    }

    @Override
    public void deliver(PeerMessage.ForwardRequest request, BodyStream body, Consumer<PeerMessage> resultListener) {
        deliver(node, request, body, resultListener);
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
        deliverForwarded(source, request, null, request.body().length);
    }

    /** Delivers a request from another sidecar whose body follows, as soon as credit is granted for it. */
    void deliverForwarded(PeerConnection source, PeerMessage.ForwardRequestHead head) {
        PeerMessage.ForwardRequest request = head.request();
        BodyStream body = new BodyStream(head.bodyBytes(), new ForwardedBody(source, request.stream()));
        deliverForwarded(source, request, body, BODY_WINDOW_BYTES);
    }

    private void deliverForwarded(
            PeerConnection source, PeerMessage.ForwardRequest request, BodyStream body, int heldBytes) {
        int remainingMs = forwardedTime.remainingMs(timers.nowMs(), source.transitClock(), request);
        if (remainingMs == 0) {
            // Its time ran out on the way and its caller has been answered, so it is not started.
            source.send(failure(request, PeerMessage.FailureReason.UNREACHED));
            return;
        }
        if (!bodyBudget.tryReserve(heldBytes)) {
            source.send(failure(request, PeerMessage.FailureReason.FULL));
            return;
        }
        deliver(source, request.withLeft(remainingMs), body, result -> {
            bodyBudget.release(heldBytes);
            if (source.isOpen()) {
                source.send(result);
            }
        });
    }

    /** Handles a part of a body of a request that arrived on this connection. */
    void bodyPartReceived(PeerConnection source, PeerMessage.BodyPart part) {
        requests.bodyPartReceived(source, part, BODY_WINDOW_BYTES);
    }

    /** Handles that a connection was closed: bodies that were still arriving on it can't be completed. */
    void disconnected(PeerConnection source) {
        requests.senderDisconnected(source);
    }

    /** A body that another sidecar sends as credit is granted for it. */
    private record ForwardedBody(PeerConnection source, long stream) implements BodyStream.Producer {
        @Override
        public void opened() {
            source.send(new PeerMessage.BodyCredit(stream, BODY_WINDOW_BYTES));
        }

        @Override
        public void released(int bytes) {
            source.send(new PeerMessage.BodyCredit(stream, bytes));
        }
    }

    private void deliver(
            Object sender, PeerMessage.ForwardRequest request, BodyStream body, Consumer<PeerMessage> resultListener) {
        EndpointGate.Admission admission = admit(request);
        if (admission != EndpointGate.Admission.OPEN) {
            PeerMessage refusal = failure(request, reason(admission));
            // Not within the call: the caller has not yet recorded that it sent the request.
            loop.execute(() -> resultListener.accept(refusal));
            return;
        }
        gate.requestStarted(timers.nowMs());
        requests.requestStarting(sender, request.stream());
        if (body != null && sender instanceof PeerConnection) {
            requests.bodyExpected(sender, request.stream(), body);
        }
        Consumer<PeerMessage> outcomeListener = outcome -> {
            if (requests.requestEnded(sender, request.stream())) {
                gate.requestEnded(timers.nowMs(), outcome instanceof PeerMessage.ForwardResponse);
                resultListener.accept(addLoad(request, outcome));
            }
        };
        try {
            requests.requestSent(
                    sender, request.stream(), connections.send(request, body, gate.endpoint(), outcomeListener));
        } catch (RuntimeException fault) {
            // The request must not stay without a result; it may have been written.
            GuardedTask.log(fault);
            outcomeListener.accept(failure(request, PeerMessage.FailureReason.BROKEN));
        }
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
