package whinlead.mesh.quota;

/**
 * A tenant's demand at one sidecar or at all of them.
 *
 * @param perSecond requests a second, including refused ones
 */
public record TenantDemand(String tenant, double perSecond) {}
