package whinlead.mesh.quota;

/**
 * How far a tenant may exceed its limit: in any window no more than {@code (limit x window + burst) x (1 + excess) +
 * slack} of its requests may run, over all sidecars together.
 *
 * @param windowS the window's length in seconds
 * @param excess as a part of what the limit gives in a window
 * @param slack requests a window
 */
public record QuotaRules(double windowS, double excess, double slack) {
    /** Of what the rules allow beyond the limit, the part that makes buckets fill faster. */
    private static final double RATE_PART = 0.4;
    /** The part that makes them deeper; the rest is the reserve. */
    private static final double DEPTH_PART = 0.4;
    /** Requests a window that are left unused: counts are whole numbers, and time is rounded. */
    private static final double MARGIN = 2;

    /**
     * What sidecars and control nodes may spend in all of one tenant's limit. Its rate times the window, its depth and
     * its reserve add up to what the rules allow, less the margin: so a token bucket of this rate and depth, and the
     * reserve once a window, keep to them.
     */
    public QuotaAllowance allowance(double limitPerS, double burst) {
        double limit = limitPerS * windowS + burst;
        double spare = Math.max(0, limit * excess + slack - MARGIN);
        return new QuotaAllowance(
                limitPerS + spare * RATE_PART / windowS,
                burst + spare * DEPTH_PART,
                spare * (1 - RATE_PART - DEPTH_PART));
    }
}
