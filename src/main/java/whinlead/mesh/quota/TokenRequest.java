package whinlead.mesh.quota;

/**
 * A sidecar's request to a control node for one token of the part that the control node has not leased.
 *
 * @param number identifies the request on its connection
 * @param allowance of the tenant, by the configuration in force at the sidecar
 */
public record TokenRequest(long number, String tenant, QuotaAllowance allowance) {}
