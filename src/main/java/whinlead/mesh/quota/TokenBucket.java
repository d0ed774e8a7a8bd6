package whinlead.mesh.quota;

/**
 * Tokens of one tenant at one process, which has a share of the tenant's allowance. A growing share adds no tokens, and
 * a shrinking one removes those that it has no room for; tokens that move between buckets are removed from one before
 * they are added to the other. So all buckets of a tenant together contain no more than the depth and gain no more than
 * the rate, as long as the shares add up to no more than 1. Pure; times in milliseconds.
 */
final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000;

    private QuotaAllowance allowance;
    private double share;
    private double tokens;
    private double refilledAtMs;

    /** Creates an empty bucket that has had this share since the given time. */
    TokenBucket(double sinceMs, QuotaAllowance allowance, double share) {
        this.allowance = allowance;
        this.share = share;
        this.refilledAtMs = sinceMs;
    }

    QuotaAllowance allowance() {
        return allowance;
    }

    double share() {
        return share;
    }

    /** Changes the allowance and the share from now on. Returns the tokens that there is no more room for. */
    double update(double nowMs, QuotaAllowance newAllowance, double newShare) {
        refill(nowMs);
        allowance = newAllowance;
        share = newShare;
        double excess = Math.max(0, tokens - allowance.depth() * share);
        tokens -= excess;
        return excess;
    }

    /** Removes and returns the tokens that belong to this part of the share. */
    double split(double nowMs, double partOfShare) {
        refill(nowMs);
        double removedTokens = share <= 0 ? 0 : tokens * Math.min(1, Math.max(0, partOfShare / share));
        tokens -= removedTokens;
        return removedTokens;
    }

    /** Adds tokens that were removed from another bucket. */
    void add(double nowMs, double addedTokens) {
        refill(nowMs);
        tokens = Math.min(allowance.depth() * share, tokens + addedTokens);
    }

    /** Removes one token if there is one. */
    boolean tryTake(double nowMs) {
        refill(nowMs);
        boolean hasToken = tokens >= 1;
        tokens -= hasToken ? 1 : 0;
        return hasToken;
    }

    /** Milliseconds until a token is available if the share does not change; infinite if never. */
    double msUntilNextToken(double nowMs) {
        refill(nowMs);
        double ratePerMs = allowance.ratePerS() * share / MILLIS_PER_SECOND;
        return allowance.depth() * share < 1 ? Double.POSITIVE_INFINITY : Math.max(0, (1 - tokens) / ratePerMs);
    }

    private void refill(double nowMs) {
        double gainedTokens = Math.max(0, nowMs - refilledAtMs) * allowance.ratePerS() * share / MILLIS_PER_SECOND;
        tokens = Math.min(allowance.depth() * share, tokens + gainedTokens);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}
