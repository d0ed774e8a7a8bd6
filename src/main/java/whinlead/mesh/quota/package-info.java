/**
 * Enforcement of tenants' limits over all sidecars: sidecars report their demand, and control nodes lease them shares
 * of each limit and give out single tokens.
 *
 * <p>Start with {@link whinlead.mesh.quota.TenantQuota}, a sidecar's part, and
 * {@link whinlead.mesh.quota.QuotaGrantor}, a control node's. {@link whinlead.mesh.quota.DemandTotals} serves sidecars
 * of the protocol version before leases. Pure except for values drawn from a seed; one thread; times in milliseconds.
 */
package whinlead.mesh.quota;
