package whinlead.mesh.quota;

/** The result of a quota check of one request. */
public sealed interface QuotaDecision {
    /** The request may proceed. */
    record Admitted() implements QuotaDecision {}

    /**
     * The tenant is over its limit, or this sidecar has no share of the limit.
     *
     * @param retryAfterMs when another request may be admitted, in milliseconds
     */
    record Refused(double retryAfterMs) implements QuotaDecision {}

    /**
     * This sidecar has no token left; a control node may have one.
     *
     * @param allowance of the tenant
     */
    record NeedsToken(String tenant, QuotaAllowance allowance) implements QuotaDecision {}
}
