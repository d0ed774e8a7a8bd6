package whinlead.mesh.sidecar;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import whinlead.engine.Timers;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;

/**
 * Takes requests for the endpoint beside this sidecar, from this sidecar and from others: asks the gate whether each
 * may go to the endpoint now, sends it there, and tells once what became of it. On the loop's thread.
 */
final class EndpointDelivery implements RequestForwarder.LocalEndpoint {
    private final Executor loop;
    private final Timers timers;
    private final String node;
    private final EndpointGate gate;
    private final EndpointConnections connections;
    private final KeyClient keys;
    private final double lastCallsMs;
    private final EndpointRequests requests = new EndpointRequests();
    private final ForwardedTime forwardedTime = new ForwardedTime();

    /**
     * Delivers to the endpoint of this gate.
     *
     * @param node this sidecar's, which stands for the sender of its own requests
     * @param keys those that the endpoint owns, where its service is divided by key
     * @param lastCallsMs how long the owner of keys still gets requests once it drains, for nobody else may have them
     */
    EndpointDelivery(
            Executor loop,
            Timers timers,
            String node,
            EndpointGate gate,
            EndpointConnections connections,
            KeyClient keys,
            double lastCallsMs) {
        this.loop = loop;
        this.timers = timers;
        this.node = node;
        this.gate = gate;
        this.connections = connections;
        this.keys = keys;
        this.lastCallsMs = lastCallsMs;
    }

    @Override
    public void deliver(PeerMessage.ForwardRequest request, Consumer<PeerMessage> done) {
        deliver(node, request, done);
    }

    @Override
    public void cancel(PeerMessage.Cancel cancel) {
        requests.cancel(node, cancel);
    }

    /** The client of a request that came on this connection has left. */
    void cancel(PeerConnection from, PeerMessage.Cancel cancel) {
        requests.cancel(from, cancel);
    }

    /** This process runs: by this it tells that it was frozen. */
    void running() {
        forwardedTime.running(timers.now());
    }

    /** Another sidecar forwards a request; it is answered on its connection while that is open. */
    void forwarded(PeerConnection from, PeerMessage.ForwardRequest request) {
        int leftMs = forwardedTime.left(timers.now(), from.transit(), request);
        if (leftMs == 0) {
            // What waited on its way until its time was up is not begun: its caller has been answered.
            from.send(failure(request, PeerMessage.FailureReason.UNREACHED));
            return;
        }
        deliver(from, request.withLeft(leftMs), answer -> {
            if (from.isOpen()) {
                from.send(answer);
            }
        });
    }

    private void deliver(Object sender, PeerMessage.ForwardRequest request, Consumer<PeerMessage> done) {
        EndpointGate.Admission admission = admit(request);
        if (admission != EndpointGate.Admission.OPEN) {
            PeerMessage refusal = failure(request, reason(admission));
            // Not in the caller's own call: it has not noted yet that it sent.
            loop.execute(() -> done.accept(refusal));
            return;
        }
        gate.requestStarted(timers.now());
        requests.begin(sender, request.stream());
        EndpointConnections.Sent sent = connections.send(request, gate.endpoint(), outcome -> {
            requests.ended(sender, request.stream());
            gate.requestEnded(timers.now(), outcome instanceof PeerMessage.ForwardResponse);
            done.accept(withLoad(request, outcome));
        });
        requests.sent(sender, request.stream(), sent);
    }

    // Of divided services the key decides first: whoever asks the wrong owner learns nothing of this endpoint's load.
    private EndpointGate.Admission admit(PeerMessage.ForwardRequest request) {
        double now = timers.now();
        if (!keys.isDivided() || !request.target().equals(gate.target())) {
            return gate.admit(now, request.target(), request.rank());
        }
        int key = ShardKey.of(request.headers());
        if (key == ShardKey.NONE || !keys.admit(key)) {
            return EndpointGate.Admission.NOT_OWNER;
        }
        return gate.admit(now, request.target(), request.rank(), lastCallsMs);
    }

    private static PeerMessage.FailureReason reason(EndpointGate.Admission admission) {
        return switch (admission) {
            case FULL -> PeerMessage.FailureReason.FULL;
            case NOT_OWNER -> PeerMessage.FailureReason.NOT_OWNER;
            case MOVED, OPEN -> PeerMessage.FailureReason.MOVED;
        };
    }

    // What came of it at the endpoint, with how busy that is.
    private PeerMessage withLoad(PeerMessage.ForwardRequest request, PeerMessage outcome) {
        if (outcome instanceof PeerMessage.ForwardResponse response) {
            return new PeerMessage.ForwardResponse(
                    response.stream(),
                    response.status(),
                    response.headers(),
                    response.body(),
                    gate.utilization(),
                    gate.perSecond());
        }
        return failure(request, ((PeerMessage.ForwardFailure) outcome).why());
    }

    private PeerMessage.ForwardFailure failure(PeerMessage.ForwardRequest request, PeerMessage.FailureReason why) {
        return new PeerMessage.ForwardFailure(request.stream(), why, gate.utilization(), gate.perSecond());
    }
}
