package whinlead.mesh.consensus;

/** When a message that was not answered is due again. Times in milliseconds. */
final class RetryTimer {
    private static final double INTERVAL = 150;

    private double dueAt;

    /** It is due at once. */
    void restart(double now) {
        dueAt = now;
    }

    /** Whether it is due; if so, it is due next after the interval. */
    boolean isDue(double now) {
        if (now < dueAt) {
            return false;
        }
        dueAt = now + INTERVAL;
        return true;
    }
}
