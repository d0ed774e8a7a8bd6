package whinlead.mesh.sidecar;

/**
 * This sidecar's share of the retry budget of one service. Each request adds a fraction of the ratio that the rules
 * allow, and an even share of the rules' slack can be saved up. A retry is an arrival of a request at a further
 * endpoint. Pure; used by one thread.
 */
public final class RetryBudget {
    /**
     * Fraction of the allowed budget that is used: retries by callers of a repeated run count as well, and are not
     * counted here.
     */
    private static final double SPENT_FRACTION = 0.6;

    private final double tokensPerRequest;
    private final double slack;
    private double tokens = 1;

    /** Creates a budget by the rules' ratio and slack. */
    public RetryBudget(double ratio, double slack) {
        this.tokensPerRequest = ratio * SPENT_FRACTION;
        this.slack = slack * SPENT_FRACTION;
    }

    /** Records a request for the service that was accepted by one of {@code sidecarCount} sidecars. */
    public void requestReceived(int sidecarCount) {
        tokens = Math.min(Math.max(1, slack / sidecarCount), tokens + tokensPerRequest);
    }

    /** Whether the budget allows a retry now. */
    boolean canSpend() {
        return tokens >= 1;
    }

    /** Spends budget for one retry; false if there is not enough. */
    public boolean trySpend() {
        if (!canSpend()) {
            return false;
        }
        tokens--;
        return true;
    }
}
