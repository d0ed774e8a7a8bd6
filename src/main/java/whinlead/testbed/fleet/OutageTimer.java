package whinlead.testbed.fleet;

import java.util.List;

/**
 * Measures for one group how long after a fault the first unsafe or keyed request goes out again, and remembers its
 * last kill. For the event loop.
 */
final class OutageTimer {
    /** Requests that come so soon after a kill are counted apart, in milliseconds. */
    private static final double AFTER_KILL_MS = 5000;

    private final List<Double> outages;
    private double faultAt = Double.NaN;
    private double killedAt = Double.NEGATIVE_INFINITY;

    /** One that has seen no fault; each measured duration, in milliseconds, is added to {@code outages}. */
    OutageTimer(List<Double> outages) {
        this.outages = outages;
    }

    /** A fault begins. */
    void fault(double now) {
        if (Double.isNaN(faultAt)) {
            faultAt = now;
        }
    }

    /** A member was killed. */
    void killed(double now) {
        killedAt = now;
    }

    /** Whether a kill was not long ago. */
    boolean recentlyKilled(double now) {
        return now - killedAt < AFTER_KILL_MS;
    }

    /** An unsafe or keyed request went out: the outage is over. */
    void requestSent(double now) {
        if (!Double.isNaN(faultAt)) {
            outages.add(now - faultAt);
            faultAt = Double.NaN;
        }
    }
}
