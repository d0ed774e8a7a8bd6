package whinlead.mesh.consensus;

/** When a control node without a vote next asks for one. Not safe for several threads; times in milliseconds. */
final class JoinTimer {
    /** The mean time between requests, in milliseconds. */
    private static final double MEAN_INTERVAL_MS = 250;
    /** The minimum time between requests if newer decisions reach the disk meanwhile, in milliseconds. */
    private static final double MIN_INTERVAL_MS = 100;
    /** The shortest interval as a fraction of the mean; the longest exceeds the mean by as much. */
    private static final double MIN_FRACTION = 0.75;

    private double dueAtMs;
    private double requestedAtMs = Double.NEGATIVE_INFINITY;

    /** Whether a request is due. */
    boolean isDue(double nowMs) {
        return nowMs >= dueAtMs;
    }

    /**
     * Starts another interval.
     *
     * @param draw uniform from 0 to 1, so that nodes which start together do not ask together
     */
    void restart(double nowMs, double draw) {
        dueAtMs = nowMs + MEAN_INTERVAL_MS * (MIN_FRACTION + 2 * (1 - MIN_FRACTION) * draw);
    }

    /** This node has asked for a vote. */
    void voteRequested(double nowMs) {
        requestedAtMs = nowMs;
    }

    /** A newer decision is on this node's disk: it may ask again earlier. */
    void decisionStored(double nowMs) {
        dueAtMs = Math.min(dueAtMs, Math.max(nowMs, requestedAtMs + MIN_INTERVAL_MS));
    }
}
