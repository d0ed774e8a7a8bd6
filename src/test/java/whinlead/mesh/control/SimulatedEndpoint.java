package whinlead.mesh.control;

import java.util.Random;
import java.util.function.BiConsumer;
import whinlead.mesh.keys.KeyMap;
import whinlead.mesh.keys.KeyRange;
import whinlead.mesh.rpc.RpcCall;
import whinlead.plan.Calendar;

/** An endpoint that owns keys, following the published protocol, with a clock up to 2% slow. */
final class SimulatedEndpoint {
    /** The mean time between heartbeats, in milliseconds. */
    static final double HEARTBEAT_MS = 1000;

    static final int OK = 200;
    static final int CONFLICT = 409;
    private static final double MAX_CLOCK_LAG = 0.02;
    private static final int CAPACITY = 6;

    /** A holding of keys; times in simulated time. */
    record Holding(long fence, double untilMs, SimulatedProcess grantedBy, double grantedAtMs) {}

    private final Calendar calendar;
    private final Random random;
    private final String id;
    private final String service;
    private final BiConsumer<SimulatedEndpoint, RpcCall.EndpointStatus> sidecar;
    private final double clockLagFactor;
    private final KeyMap<Holding> holdings = new KeyMap<>();
    private final KeyMap<Long> highestFence = new KeyMap<>();
    private int heartbeatCount;
    private boolean up = true;
    private boolean draining;

    /**
     * An endpoint that holds nothing.
     *
     * @param sidecar receives its heartbeats
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
        this.clockLagFactor = 1 + random.nextDouble() * MAX_CLOCK_LAG;
        scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
        calendar.schedule(HEARTBEAT_MS * (0.9 + random.nextDouble() * 0.2), () -> {
            if (up) {
                String phase = draining ? "draining" : "serving";
                sidecar.accept(this, new RpcCall.EndpointStatus(service, "z", CAPACITY, phase, 0, ++heartbeatCount));
                scheduleHeartbeat();
            }
        });
    }

    int grant(KeyRange range, long fence, double holdMs, SimulatedProcess grantedBy) {
        for (KeyMap.Entry<Long> each : highestFence.overlapping(range)) {
            if (each.value() > fence) {
                return CONFLICT;
            }
        }
        highestFence.put(range, fence);
        holdings.put(
                range, new Holding(fence, calendar.nowMs() + holdMs * clockLagFactor, grantedBy, calendar.nowMs()));
        return OK;
    }

    String release(KeyRange range, long fence) {
        holdings.update(range, each -> each.fence() <= fence ? null : each);
        return "handoff-" + fence;
    }

    /** The holding that contains the key now; null if this endpoint does not hold it. */
    Holding holdingOf(int key) {
        Holding holding = holdings.get(key);
        return up && holding != null && holding.untilMs() > calendar.nowMs() ? holding : null;
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
