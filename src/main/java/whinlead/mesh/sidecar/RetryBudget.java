package whinlead.mesh.sidecar;

/**
 * This sidecar's part of the budget of further arrivals at one service: each request pays in a part of what the rules
 * allow, and an even share of the rules' slack may be saved up. Pure; one thread.
 */
public final class RetryBudget {
    /** Of what the rules allow, what is spent: calls of a repeated run count too, and nobody counts them here. */
    private static final double PART = 0.6;

    private final double earn;
    private final double slack;
    private double tokens = 1;

    /** A budget by the rules' ratio and slack. */
    public RetryBudget(double ratio, double slack) {
        this.earn = ratio * PART;
        this.slack = slack * PART;
    }

    /** A request for the service was taken, by one of so many sidecars. */
    public void requestReceived(int sidecars) {
        tokens = Math.min(Math.max(1, slack / sidecars), tokens + earn);
    }

    /** Whether a further arrival could be paid for now. */
    boolean canSpend() {
        return tokens >= 1;
    }

    /** Whether a further arrival may be paid for; if so, it is. */
    public boolean trySpend() {
        if (!canSpend()) {
            return false;
        }
        tokens--;
        return true;
    }
}
