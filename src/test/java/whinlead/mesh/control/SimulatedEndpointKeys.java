package whinlead.mesh.control;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;
import whinlead.mesh.sidecar.EndpointKeys;
import whinlead.plan.Calendar;

/** A sidecar's calls to its local endpoint under simulated time. */
final class SimulatedEndpointKeys implements EndpointKeys {
    /** The maximum time between a decision and the write; the process may be suspended in between. */
    private static final double MAX_SEND_DELAY_MS = 2;

    private static final double ANSWER_MS = 1;
    private static final double TIMEOUT_MS = 800;
    /** Requests that run when keys are released end within this time. */
    private static final int MAX_RUN_MS = 500;

    private final Calendar calendar;
    private final Random random;
    private final SimulatedProcess sidecar;
    private final Supplier<SimulatedEndpoint> endpoint;
    private final double excessHoldMs;
    private int generation;

    /**
     * A sidecar's calls.
     *
     * @param excessHoldMs by how much longer than requested the endpoint is granted keys, as an injected fault; 0 for
     *     none
     */
    SimulatedEndpointKeys(
            Calendar calendar,
            Random random,
            SimulatedProcess sidecar,
            Supplier<SimulatedEndpoint> endpoint,
            double excessHoldMs) {
        this.calendar = calendar;
        this.random = random;
        this.sidecar = sidecar;
        this.endpoint = endpoint;
        this.excessHoldMs = excessHoldMs;
    }

    @Override
    public void grant(GrantCall call, DoubleUnaryOperator holdMs, GrantListener listener) {
        double writtenAtMs = sidecar.nowMs();
        double requestedMs = holdMs.applyAsDouble(writtenAtMs);
        if (requestedMs <= 0) {
            sidecar.schedule(0, listener::failed);
            return;
        }
        calendar.schedule(random.nextDouble() * MAX_SEND_DELAY_MS, () -> {
            if (sidecar.isUp()) {
                calendar.scheduleAt(sidecar.sendTimeMs(), () -> deliverGrant(call, writtenAtMs, requestedMs, listener));
            }
        });
    }

    private void deliverGrant(GrantCall call, double writtenAtMs, double requestedMs, GrantListener listener) {
        SimulatedEndpoint current = endpoint.get();
        if (!current.isUp()) {
            answer(TIMEOUT_MS, listener::failed);
            return;
        }
        int status = current.grant(call.range(), call.fence(), requestedMs + excessHoldMs, sidecar);
        answer(ANSWER_MS, () -> {
            if (status == SimulatedEndpoint.OK) {
                listener.granted(writtenAtMs, requestedMs);
            } else {
                listener.refused();
            }
        });
    }

    @Override
    public void release(ReleaseCall call, ReleaseListener listener) {
        calendar.scheduleAt(sidecar.sendTimeMs(), () -> {
            SimulatedEndpoint current = endpoint.get();
            if (current.isUp()) {
                String handoff = current.release(call.range(), call.fence());
                answer(ANSWER_MS + random.nextInt(MAX_RUN_MS), () -> listener.released(handoff));
            } else {
                answer(TIMEOUT_MS, listener::failed);
            }
        });
    }

    // Drops the answer if the endpoint has been replaced meanwhile.
    private void answer(double afterMs, Runnable listener) {
        int requestGeneration = generation;
        calendar.schedule(
                afterMs,
                () -> sidecar.run(() -> {
                    if (requestGeneration == generation) {
                        listener.run();
                    }
                }));
    }

    @Override
    public void clear() {
        generation++;
    }
}
