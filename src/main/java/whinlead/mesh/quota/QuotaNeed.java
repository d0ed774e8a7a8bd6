package whinlead.mesh.quota;

/**
 * What a sidecar tells a control node of one tenant.
 *
 * @param demandPerS requests a second that it is asked for, those turned away included
 * @param allowance of the tenant, by the configuration that is in force there
 * @param returnedTokens tokens that went with a share that this control node has taken back, once
 * @param heldShare the share that it holds by a lease from this control node; 0 if none
 */
public record QuotaNeed(
        String tenant, double demandPerS, QuotaAllowance allowance, double returnedTokens, double heldShare) {}
