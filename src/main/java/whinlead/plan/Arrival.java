package whinlead.plan;

/**
 * A request that arrives at a sidecar.
 *
 * @param atMs milliseconds since the load started
 * @param kind index of the request class in the settings
 * @param tenant index of the tenant in the settings, or -1 if there is none
 * @param repeat whether the client marked the request as a retry
 */
public record Arrival(double atMs, int kind, int tenant, boolean repeat) {}
