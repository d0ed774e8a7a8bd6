package whinlead.mesh.quota;

/**
 * A sidecar asks a control node for one token, out of what that has not leased.
 *
 * @param number names the request among those of one connection
 * @param allowance of the tenant, by the configuration that is in force at the sidecar
 */
public record TokenRequest(long number, String tenant, QuotaAllowance allowance) {}
