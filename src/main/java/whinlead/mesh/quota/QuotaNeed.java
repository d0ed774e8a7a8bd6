package whinlead.mesh.quota;

/**
 * A sidecar's report to a control node about one tenant.
 *
 * @param demandPerS requests a second that arrive, including refused ones
 * @param allowance of the tenant, by the configuration in force at the sidecar
 * @param returnedTokens tokens that belonged to a share that this control node has revoked; each is returned once
 * @param heldShare the share that the sidecar leases from this control node; 0 if none
 */
public record QuotaNeed(
        String tenant, double demandPerS, QuotaAllowance allowance, double returnedTokens, double heldShare) {}
