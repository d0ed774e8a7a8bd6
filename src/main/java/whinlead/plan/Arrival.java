package whinlead.plan;

/**
 * A request as it came to a sidecar.
 *
 * @param at milliseconds since the load began
 * @param kind position of its class in the settings
 * @param tenant position of its tenant in the settings, or -1
 * @param repeat whether the client said that it is a repeat
 */
public record Arrival(double at, int kind, int tenant, boolean repeat) {}
