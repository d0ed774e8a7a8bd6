package whinlead.mesh.consensus;

/** When an unanswered message is due to be sent again. Times in milliseconds. */
final class RetryTimer {
    private static final double INTERVAL_MS = 150;

    private double dueAtMs;

    /** Makes the message due at once. */
    void restart(double nowMs) {
        dueAtMs = nowMs;
    }

    /** Whether the message is due; if so, it is next due after the interval. */
    boolean isDue(double nowMs) {
        if (nowMs < dueAtMs) {
            return false;
        }
        dueAtMs = nowMs + INTERVAL_MS;
        return true;
    }
}
