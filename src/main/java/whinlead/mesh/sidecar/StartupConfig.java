package whinlead.mesh.sidecar;

import whinlead.mesh.consensus.Decision;

/**
 * What a sidecar that has no configuration yet begins with. A control node that is cut off may know an old one only, so
 * what a control node in contact with a majority says is taken at once, and anything else only after a while in which
 * none such answered: better served by the newest in reach than not at all. Pure; one thread; times in milliseconds.
 */
final class StartupConfig {
    /** How long a control node in contact with a majority is waited for, from the first answer of any. */
    static final double WAIT = 2000;

    private Decision candidate;
    private double since = Double.NaN;

    /**
     * A control node said what it knows.
     *
     * @param confirmed whether it is in contact with a majority
     * @return what to begin with, or null where to wait
     */
    Decision offered(double now, Decision decision, boolean confirmed) {
        if (Double.isNaN(since)) {
            since = now;
        }
        if (candidate == null || decision.slot() > candidate.slot()) {
            candidate = decision;
        }
        return confirmed ? candidate : waited(now);
    }

    /** What to begin with for want of anything better, or null where to wait on. */
    Decision waited(double now) {
        return now - since > WAIT ? candidate : null;
    }

    /** Whether something is known that nobody has confirmed. */
    boolean unconfirmed() {
        return candidate != null;
    }
}
