/**
 * Limits of tenants over all sidecars: each sidecar reports its demand, control nodes add it up, and each sidecar takes
 * its share of the limit.
 *
 * <p>Begin with {@link whinlead.mesh.quota.TenantQuota}, a sidecar's share; {@link whinlead.mesh.quota.DemandTotals} is
 * the sum at a control node. Pure but for draws from a seed; one thread; times in milliseconds.
 */
package whinlead.mesh.quota;
