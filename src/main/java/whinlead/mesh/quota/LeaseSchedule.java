package whinlead.mesh.quota;

/**
 * Schedules a sidecar's reports to one control node: often enough that a lease is renewed several times before it ends,
 * at once on a new connection and when demand has changed, and rarely while there is nothing to report. Pure; times in
 * milliseconds.
 */
public final class LeaseSchedule {
    /** Interval between two reports while there is demand. */
    public static final double RENEWAL_INTERVAL_MS = 1000;
    /** Minimum interval between two reports when demand has changed. */
    static final double CHANGE_INTERVAL_MS = 200;
    /**
     * Interval between two reports without demand. They tell a control node that has just started that this sidecar has
     * no leases.
     */
    static final double IDLE_INTERVAL_MS = 2500;

    private double sentAtMs = Double.NEGATIVE_INFINITY;

    /** Handles a new connection: a report is due at once. */
    public void onConnected() {
        sentAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Whether a report is due. */
    public boolean isDue(double nowMs, boolean hasNeeds, boolean hasDemandChanged) {
        double elapsedMs = nowMs - sentAtMs;
        return elapsedMs >= (hasDemandChanged ? CHANGE_INTERVAL_MS : hasNeeds ? RENEWAL_INTERVAL_MS : IDLE_INTERVAL_MS);
    }

    /** Records that a report was sent. */
    public void reportSent(double nowMs) {
        sentAtMs = nowMs;
    }
}
