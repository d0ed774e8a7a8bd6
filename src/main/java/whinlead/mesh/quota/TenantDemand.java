package whinlead.mesh.quota;

/**
 * What one sidecar, or all of them, are asked for in a tenant's name.
 *
 * @param perSecond requests a second, those turned away included
 */
public record TenantDemand(String tenant, double perSecond) {}
