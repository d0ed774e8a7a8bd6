package whinlead.mesh.quota;

/**
 * How far a tenant may exceed its limit: in any window no more than {@code (limit x window + burst) x (1 + excess) +
 * slack} of its requests may run, over all sidecars together.
 *
 * @param windowS the window's length in seconds
 * @param excess as a fraction of what the limit gives in a window
 * @param slack requests a window
 */
public record QuotaRules(double windowS, double excess, double slack) {
    /** The fraction of what the rules allow beyond the limit that makes buckets fill faster. */
    private static final double RATE_FRACTION = 0.4;
    /** The fraction that makes buckets deeper; the rest is the reserve. */
    private static final double DEPTH_FRACTION = 0.4;
    /** Requests a window that are left unused, because counts are whole numbers and times are rounded. */
    private static final double MARGIN_REQUESTS = 2;

    /**
     * The allowance of a tenant over all sidecars and control nodes. Its rate times the window, its depth and its
     * reserve add up to what the rules allow, less the margin, so a token bucket of this rate and depth, plus the
     * reserve once a window, keeps to the rules.
     */
    public QuotaAllowance allowance(double limitPerS, double burst) {
        double requestsPerWindow = limitPerS * windowS + burst;
        double sparePerWindow = Math.max(0, requestsPerWindow * excess + slack - MARGIN_REQUESTS);
        return new QuotaAllowance(
                limitPerS + sparePerWindow * RATE_FRACTION / windowS,
                burst + sparePerWindow * DEPTH_FRACTION,
                sparePerWindow * (1 - RATE_FRACTION - DEPTH_FRACTION));
    }
}
