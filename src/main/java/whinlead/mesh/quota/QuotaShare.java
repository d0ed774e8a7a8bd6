package whinlead.mesh.quota;

/**
 * One tenant's part of a lease.
 *
 * @param share of the tenant's allowance
 * @param tokens that come along, once
 * @param demandPerS of all sidecars together, as far as the control node has heard
 */
public record QuotaShare(String tenant, double share, double tokens, double demandPerS) {}
