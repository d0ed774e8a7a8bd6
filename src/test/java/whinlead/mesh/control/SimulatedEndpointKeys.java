package whinlead.mesh.control;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;
import whinlead.mesh.sidecar.EndpointKeys;
import whinlead.plan.Calendar;

/** How a sidecar's calls reach the endpoint beside it, under simulated time. */
final class SimulatedEndpointKeys implements EndpointKeys {
    /** Between a decision and the write the process may begin to stand still. */
    private static final double STUCK_MS = 2;

    private static final double ANSWER_MS = 1;
    private static final double TIMEOUT_MS = 800;
    /** What runs when keys are released ends within this. */
    private static final int MAX_RUN_MS = 500;

    private final Calendar calendar;
    private final Random random;
    private final SimulatedProcess sidecar;
    private final Supplier<SimulatedEndpoint> endpoint;
    private final double tooLongMs;
    private int generation;

    /**
     * Calls of a sidecar.
     *
     * @param tooLongMs by how much longer than was asked for the endpoint is granted keys, as a fault; 0 for none
     */
    SimulatedEndpointKeys(
            Calendar calendar,
            Random random,
            SimulatedProcess sidecar,
            Supplier<SimulatedEndpoint> endpoint,
            double tooLongMs) {
        this.calendar = calendar;
        this.random = random;
        this.sidecar = sidecar;
        this.endpoint = endpoint;
        this.tooLongMs = tooLongMs;
    }

    @Override
    public void grant(GrantCall call, DoubleUnaryOperator holdMs, GrantListener listener) {
        double writtenAt = sidecar.now();
        double ms = holdMs.applyAsDouble(writtenAt);
        if (ms <= 0) {
            sidecar.after(0, listener::failed);
            return;
        }
        calendar.after(random.nextDouble() * STUCK_MS, () -> {
            if (sidecar.isUp()) {
                calendar.at(sidecar.leavesAt(), () -> arrive(call, writtenAt, ms, listener));
            }
        });
    }

    private void arrive(GrantCall call, double writtenAt, double ms, GrantListener listener) {
        SimulatedEndpoint there = endpoint.get();
        if (!there.isUp()) {
            answer(TIMEOUT_MS, listener::failed);
            return;
        }
        int status = there.grant(call.range(), call.fence(), ms + tooLongMs, sidecar);
        answer(ANSWER_MS, () -> {
            if (status == SimulatedEndpoint.OK) {
                listener.granted(writtenAt, ms);
            } else {
                listener.refused();
            }
        });
    }

    @Override
    public void release(ReleaseCall call, ReleaseListener listener) {
        calendar.at(sidecar.leavesAt(), () -> {
            SimulatedEndpoint there = endpoint.get();
            if (there.isUp()) {
                String handoff = there.release(call.range(), call.fence());
                answer(ANSWER_MS + random.nextInt(MAX_RUN_MS), () -> listener.released(handoff));
            } else {
                answer(TIMEOUT_MS, listener::failed);
            }
        });
    }

    // Unless the endpoint has been replaced meanwhile.
    private void answer(double afterMs, Runnable listener) {
        int of = generation;
        calendar.after(
                afterMs,
                () -> sidecar.run(() -> {
                    if (of == generation) {
                        listener.run();
                    }
                }));
    }

    @Override
    public void clear() {
        generation++;
    }
}
