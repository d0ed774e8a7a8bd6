package whinlead.mesh.control;

import java.util.Random;
import java.util.function.BiConsumer;
import whinlead.mesh.keys.KeyMap;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.rpc.RpcCall;
import whinlead.plan.Calendar;

/** An endpoint that owns keys, by the published protocol and a clock up to 2% slow. */
final class SimulatedEndpoint {
    /** How often it sends a heartbeat, in milliseconds. */
    static final double BEAT_MS = 1000;

    static final int OK = 200;
    static final int CONFLICT = 409;
    private static final double MAX_SLOWNESS = 0.02;
    private static final int CAPACITY = 6;

    /** Keys that it holds; times in simulated time. */
    record Held(long fence, double until, SimulatedProcess grantedBy, double grantedAt) {}

    private final Calendar calendar;
    private final Random random;
    private final String id;
    private final String service;
    private final BiConsumer<SimulatedEndpoint, RpcCall.EndpointStatus> sidecar;
    private final double slowness;
    private final KeyMap<Held> held = new KeyMap<>();
    private final KeyMap<Long> highest = new KeyMap<>();
    private int calls;
    private boolean up = true;
    private boolean draining;

    /**
     * An endpoint that holds nothing.
     *
     * @param sidecar takes its heartbeats
     */
    SimulatedEndpoint(
            Calendar calendar,
            Random random,
            String id,
            String service,
            BiConsumer<SimulatedEndpoint, RpcCall.EndpointStatus> sidecar) {
        this.calendar = calendar;
        this.random = random;
        this.id = id;
        this.service = service;
        this.sidecar = sidecar;
        this.slowness = 1 + random.nextDouble() * MAX_SLOWNESS;
        beat();
    }

    private void beat() {
        calendar.after(BEAT_MS * (0.9 + random.nextDouble() * 0.2), () -> {
            if (up) {
                String phase = draining ? "draining" : "serving";
                sidecar.accept(this, new RpcCall.EndpointStatus(service, "z", CAPACITY, phase, 0, ++calls));
                beat();
            }
        });
    }

    int grant(KeyRange range, long fence, double holdMs, SimulatedProcess by) {
        for (KeyMap.Entry<Long> each : highest.overlapping(range)) {
            if (each.value() > fence) {
                return CONFLICT;
            }
        }
        highest.put(range, fence);
        held.put(range, new Held(fence, calendar.now() + holdMs * slowness, by, calendar.now()));
        return OK;
    }

    String release(KeyRange range, long fence) {
        held.update(range, each -> each.fence() <= fence ? null : each);
        return "handoff-" + fence;
    }

    /** Who holds the key by it now; null if it does not. */
    Held held(int key) {
        Held keys = held.get(key);
        return up && keys != null && keys.until() > calendar.now() ? keys : null;
    }

    void drain() {
        draining = true;
    }

    void crash() {
        up = false;
    }

    boolean isUp() {
        return up;
    }

    String id() {
        return id;
    }
}
