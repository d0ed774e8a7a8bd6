package whinlead.mesh.control;

import java.util.HashMap;
import java.util.Map;
import whinlead.mesh.keys.KeyRange;
import whinlead.plan.Calendar;

/** Checks periodically which endpoints hold which keys. */
final class KeyChecker {
    private static final double CHECK_INTERVAL_MS = 5;
    /** The distance between two checked keys. */
    private static final int KEY_STEP = 512;
    /** A grant that arrives this soon after its sender resumed is excused. */
    private static final double RESUME_TOLERANCE_MS = 300;

    private final Calendar calendar;
    private final KeyScenario scenario;
    private final SimulatedEndpoint[] endpoints;
    private final KeyOutcome outcome = new KeyOutcome();
    private final Map<Integer, SimulatedEndpoint.Holding> lastOwner = new HashMap<>();

    /** A checker of the endpoints that the array holds at the time of each check. */
    KeyChecker(Calendar calendar, KeyScenario scenario, SimulatedEndpoint[] endpoints) {
        this.calendar = calendar;
        this.scenario = scenario;
        this.endpoints = endpoints;
    }

    KeyOutcome outcome() {
        return outcome;
    }

    void check() {
        calendar.schedule(CHECK_INTERVAL_MS, () -> {
            for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
                check(key);
            }
            check();
        });
    }

    private void check(int key) {
        double nowMs = calendar.nowMs();
        SimulatedEndpoint.Holding holding = null;
        SimulatedEndpoint holder = null;
        for (SimulatedEndpoint endpoint : endpoints) {
            SimulatedEndpoint.Holding held = endpoint.holdingOf(key);
            if (held == null) {
                continue;
            }
            if (holding != null && !isExcused(holding) && !isExcused(held) && outcome.violation == null) {
                outcome.violation = "at " + nowMs + " ms endpoints " + holder.id() + " (fence " + holding.fence()
                        + ") and " + endpoint.id() + " (fence " + held.fence() + ") hold key " + key;
            }
            holding = held;
            holder = endpoint;
        }
        if (nowMs > scenario.startMs()) {
            outcome.totalChecks++;
            outcome.servedChecks += holding != null ? 1 : 0;
            if (nowMs > scenario.lengthMs() - 2 * CHECK_INTERVAL_MS && holding == null) {
                outcome.unservedAtEnd++;
            }
        }
        if (holding != null) {
            checkFence(key, holding);
        }
    }

    private void checkFence(int key, SimulatedEndpoint.Holding held) {
        SimulatedEndpoint.Holding previous = lastOwner.put(key, held);
        boolean ownerChanged = previous != null
                && previous.grantedBy().index() != held.grantedBy().index();
        if (ownerChanged && held.fence() <= previous.fence() && outcome.fenceViolation == null) {
            outcome.fenceViolation = "key " + key + " went from fence " + previous.fence() + " to " + held.fence();
        }
    }

    private static boolean isExcused(SimulatedEndpoint.Holding held) {
        double sinceResumeMs = held.grantedAtMs() - held.grantedBy().resumedAtMs();
        return sinceResumeMs >= 0 && sinceResumeMs < RESUME_TOLERANCE_MS;
    }
}
