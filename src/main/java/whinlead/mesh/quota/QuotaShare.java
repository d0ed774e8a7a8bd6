package whinlead.mesh.quota;

/**
 * One tenant's part of a lease.
 *
 * @param share fraction of the tenant's allowance
 * @param tokens that are transferred with this grant, once
 * @param demandPerS of all sidecars together, as far as they have reported to the control node
 */
public record QuotaShare(String tenant, double share, double tokens, double demandPerS) {}
