package whinlead.mesh.control;

import java.util.HashMap;
import java.util.Map;
import whinlead.mesh.keys.KeyRange;
import whinlead.plan.Calendar;

/** Looks again and again which endpoints hold which keys. */
final class KeyChecker {
    private static final double CHECK_MS = 5;
    /** Keys that are looked at are so far apart. */
    private static final int KEY_STEP = 512;
    /** A grant that arrives so soon after its sender went on does not count. */
    private static final double THAW_MS = 300;

    private final Calendar calendar;
    private final KeyScenario scenario;
    private final SimulatedEndpoint[] endpoints;
    private final KeyOutcome outcome = new KeyOutcome();
    private final Map<Integer, SimulatedEndpoint.Held> lastOwner = new HashMap<>();

    /** Looks at the endpoints that the array holds at each time. */
    KeyChecker(Calendar calendar, KeyScenario scenario, SimulatedEndpoint[] endpoints) {
        this.calendar = calendar;
        this.scenario = scenario;
        this.endpoints = endpoints;
    }

    KeyOutcome outcome() {
        return outcome;
    }

    void check() {
        calendar.after(CHECK_MS, () -> {
            for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
                check(key);
            }
            check();
        });
    }

    private void check(int key) {
        double now = calendar.now();
        SimulatedEndpoint.Held only = null;
        SimulatedEndpoint owner = null;
        for (SimulatedEndpoint endpoint : endpoints) {
            SimulatedEndpoint.Held held = endpoint.held(key);
            if (held == null) {
                continue;
            }
            if (only != null && !isExcused(only) && !isExcused(held) && outcome.violation == null) {
                outcome.violation = "at " + now + " ms endpoints " + owner.id() + " (fence " + only.fence() + ") and "
                        + endpoint.id() + " (fence " + held.fence() + ") hold key " + key;
            }
            only = held;
            owner = endpoint;
        }
        if (now > scenario.startMs()) {
            outcome.checked++;
            outcome.served += only != null ? 1 : 0;
            if (now > scenario.lengthMs() - 2 * CHECK_MS && only == null) {
                outcome.unservedAtEnd++;
            }
        }
        if (only != null) {
            noteOwner(key, only);
        }
    }

    private void noteOwner(int key, SimulatedEndpoint.Held held) {
        SimulatedEndpoint.Held before = lastOwner.put(key, held);
        boolean other =
                before != null && before.grantedBy().index() != held.grantedBy().index();
        if (other && held.fence() <= before.fence() && outcome.fenceViolation == null) {
            outcome.fenceViolation = "key " + key + " went from fence " + before.fence() + " to " + held.fence();
        }
    }

    private static boolean isExcused(SimulatedEndpoint.Held held) {
        double since = held.grantedAt() - held.grantedBy().thawedAt();
        return since >= 0 && since < THAW_MS;
    }
}
