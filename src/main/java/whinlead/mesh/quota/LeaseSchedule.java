package whinlead.mesh.quota;

/**
 * When a sidecar reports to one control node: so often that a lease is renewed several times before it ends, at once on
 * a new connection and when demand has changed, and seldom while there is nothing to tell. Pure; times in milliseconds.
 */
public final class LeaseSchedule {
    /** Between two reports while there is demand. */
    public static final double RENEW_MS = 1000;
    /** Between two reports with news of demand. */
    static final double NEWS_MS = 200;
    /** Between two reports without demand, which tell a control node that starts that nothing is held here. */
    static final double IDLE_MS = 2500;

    private double sentAt = Double.NEGATIVE_INFINITY;

    /** A new connection. */
    public void connected() {
        sentAt = Double.NEGATIVE_INFINITY;
    }

    /** Whether a report is due. */
    public boolean isDue(double now, boolean hasNeeds, boolean hasNews) {
        double waited = now - sentAt;
        return waited >= (hasNews ? NEWS_MS : hasNeeds ? RENEW_MS : IDLE_MS);
    }

    /** A report was sent. */
    public void sent(double now) {
        sentAt = now;
    }
}
