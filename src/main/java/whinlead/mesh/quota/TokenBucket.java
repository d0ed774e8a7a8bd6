package whinlead.mesh.quota;

/**
 * Tokens of one tenant at one process, which has a share of the tenant's allowance. A share that grows brings no
 * tokens, and one that shrinks takes those away that it has no room for; tokens that move from one bucket to another
 * are taken out before they are put in. So all buckets of a tenant together hold no more than the depth, and gain no
 * more than the rate, as long as the shares add up to no more than 1. Pure; times in milliseconds.
 */
final class TokenBucket {
    private static final double MILLIS_IN_SECOND = 1000;

    private QuotaAllowance allowance;
    private double share;
    private double tokens;
    private double refilledAt;

    /** A bucket that is empty, and has had this share since then. */
    TokenBucket(double since, QuotaAllowance allowance, double share) {
        this.allowance = allowance;
        this.share = share;
        this.refilledAt = since;
    }

    QuotaAllowance allowance() {
        return allowance;
    }

    double share() {
        return share;
    }

    /** The allowance or the share is another from now on. Returns the tokens that there is no room for any more. */
    double change(double now, QuotaAllowance newAllowance, double newShare) {
        refill(now);
        allowance = newAllowance;
        share = newShare;
        double excess = Math.max(0, tokens - allowance.depth() * share);
        tokens -= excess;
        return excess;
    }

    /** Takes out the tokens that go along with this part of the share. */
    double split(double now, double part) {
        refill(now);
        double taken = share <= 0 ? 0 : tokens * Math.min(1, Math.max(0, part / share));
        tokens -= taken;
        return taken;
    }

    /** Tokens come from elsewhere, where they were taken out. */
    void add(double now, double more) {
        refill(now);
        tokens = Math.min(allowance.depth() * share, tokens + more);
    }

    /** Takes a token if there is one. */
    boolean tryTake(double now) {
        refill(now);
        boolean has = tokens >= 1;
        tokens -= has ? 1 : 0;
        return has;
    }

    /** In how many milliseconds there is a token, if the share stays; infinite if never. */
    double untilNextMs(double now) {
        refill(now);
        double ratePerMs = allowance.ratePerS() * share / MILLIS_IN_SECOND;
        return allowance.depth() * share < 1 ? Double.POSITIVE_INFINITY : Math.max(0, (1 - tokens) / ratePerMs);
    }

    private void refill(double now) {
        double gained = Math.max(0, now - refilledAt) * allowance.ratePerS() * share / MILLIS_IN_SECOND;
        tokens = Math.min(allowance.depth() * share, tokens + gained);
        refilledAt = Math.max(refilledAt, now);
    }
}
