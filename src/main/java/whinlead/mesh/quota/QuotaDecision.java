package whinlead.mesh.quota;

/** What becomes of a request of a tenant's. */
public sealed interface QuotaDecision {
    /** It may go on. */
    record Admitted() implements QuotaDecision {}

    /**
     * The tenant is over its limit, or no part of it is left here.
     *
     * @param retryAfterMs when another request may pass, in milliseconds
     */
    record Refused(double retryAfterMs) implements QuotaDecision {}

    /**
     * No token is left here; a control node may have one.
     *
     * @param allowance the tenant's
     */
    record NeedsToken(String tenant, QuotaAllowance allowance) implements QuotaDecision {}
}
