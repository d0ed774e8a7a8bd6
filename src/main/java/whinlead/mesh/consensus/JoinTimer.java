package whinlead.mesh.consensus;

/** When a control node without a vote asks for one again. Not safe for several threads; times in milliseconds. */
final class JoinTimer {
    /** How often it asks on average, in milliseconds. */
    private static final double INTERVAL = 250;
    /** How often it asks at most, as what it has on disk gets newer, in milliseconds. */
    private static final double MIN_INTERVAL = 100;
    /** An interval is at least this part of the average; at most as much over it. */
    private static final double MIN_PART = 0.75;

    private double dueAt;
    private double askedAt = Double.NEGATIVE_INFINITY;

    /** Whether it is due. */
    boolean isDue(double now) {
        return now >= dueAt;
    }

    /**
     * Waits for another interval.
     *
     * @param draw uniform from 0 to 1: several nodes that start together should not ask together
     */
    void restart(double now, double draw) {
        dueAt = now + INTERVAL * (MIN_PART + 2 * (1 - MIN_PART) * draw);
    }

    /** The node has asked for a vote. */
    void asked(double now) {
        askedAt = now;
    }

    /** The node has a newer decision on disk, which is what it has waited for to ask. */
    void stored(double now) {
        dueAt = Math.min(dueAt, Math.max(now, askedAt + MIN_INTERVAL));
    }
}
