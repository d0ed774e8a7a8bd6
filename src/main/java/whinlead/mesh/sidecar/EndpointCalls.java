package whinlead.mesh.sidecar;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import whinlead.mesh.log.Event;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;
import whinlead.mesh.wire.PeerMessage;

/**
 * Runs the calls of the endpoint beside this sidecar: its heartbeats and its departure. A call that announces the
 * departure takes effect at once, and is acknowledged when the control nodes have stored it: a process that takes this
 * one's place must know it. Runs on the loop's thread.
 */
public final class EndpointCalls implements DepartureClient.Listener {
    /** Is notified of changes that other components need to know. */
    public interface Listener {
        /** The endpoint's state has changed; {@code sameEndpoint} says whether it is still the same endpoint. */
        void endpointChanged(boolean sameEndpoint);

        /** The endpoint has shown that it is there. */
        void endpointPresent();

        /** The endpoint has left. */
        void endpointLeft();
    }

    private final DoubleSupplier clockMs;
    private final EndpointGate gate;
    private final DepartureClient departures;
    private final Listener listener;

    /**
     * Creates a handler that has received no calls.
     *
     * @param clockMs steady, in milliseconds
     * @param sendToControlNodes sends a message to all connected control nodes
     */
    public EndpointCalls(
            DoubleSupplier clockMs, EndpointGate gate, Consumer<PeerMessage> sendToControlNodes, Listener listener) {
        this.clockMs = clockMs;
        this.gate = gate;
        this.departures = new DepartureClient(clockMs, sendToControlNodes, this);
        this.listener = listener;
    }

    /** Receives the control nodes' answers about departures. */
    public DepartureClient departures() {
        return departures;
    }

    /** Runs a call; the response may be given later. */
    public void run(RpcCall call, Consumer<RpcResponse> responseListener) {
        if (call instanceof RpcCall.Heartbeat heartbeat) {
            heartbeat(heartbeat, responseListener);
        } else if (call instanceof RpcCall.Depart depart) {
            depart(depart, responseListener);
        } else {
            responseListener.accept(
                    RpcResponse.error(HttpResponseStatus.NOT_FOUND, "operators call the control nodes"));
        }
    }

    private void heartbeat(RpcCall.Heartbeat heartbeat, Consumer<RpcResponse> responseListener) {
        if (heartbeat.status() == null || heartbeat.status().target() == null) {
            responseListener.accept(RpcResponse.error(HttpResponseStatus.BAD_REQUEST, "Target is missing"));
            return;
        }
        String previousEndpoint = gate.endpoint();
        if (!gate.hasLeft(heartbeat.endpoint())) {
            listener.endpointPresent();
        }
        if (gate.heartbeat(clockMs.getAsDouble(), heartbeat.endpoint(), heartbeat.status())) {
            changed(heartbeat.endpoint().equals(previousEndpoint));
        }
        if (heartbeat.status().isDraining()) {
            acknowledgeOnceStored(heartbeat.endpoint(), responseListener);
        } else {
            responseListener.accept(RpcResponse.done());
        }
    }

    private void depart(RpcCall.Depart depart, Consumer<RpcResponse> responseListener) {
        boolean isCurrent = gate.endpoint().isEmpty() || gate.endpoint().equals(depart.endpoint());
        boolean changed = gate.departed(depart.endpoint());
        if (isCurrent) {
            listener.endpointLeft();
        }
        if (changed) {
            changed(false);
        }
        acknowledgeOnceStored(depart.endpoint(), responseListener);
    }

    private void acknowledgeOnceStored(String endpoint, Consumer<RpcResponse> responseListener) {
        departures.store(
                endpoint,
                stored -> responseListener.accept(
                        stored
                                ? RpcResponse.done()
                                : RpcResponse.error(
                                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                                        "the departure could not be stored by the control nodes")));
    }

    /** Called several times a second. */
    public void tick() {
        if (gate.tick(clockMs.getAsDouble())) {
            Event.ENDPOINT.log(gate.endpoint() + " is silent");
            listener.endpointChanged(false);
        }
        departures.tick();
    }

    @Override
    public void departuresLearned(List<String> endpoints) {
        if (gate.departuresLearned(endpoints)) {
            changed(false);
        }
    }

    @Override
    public void departuresComplete() {
        if (gate.departuresComplete()) {
            changed(true);
        }
    }

    @Override
    public void departuresOutdated() {
        if (gate.departuresOutdated()) {
            changed(true);
        }
    }

    private void changed(boolean sameEndpoint) {
        Event.ENDPOINT.log(gate.endpoint() + " of " + gate.target() + " " + gate.state());
        listener.endpointChanged(sameEndpoint);
    }
}
