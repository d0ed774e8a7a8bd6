package whinlead.mesh.keys;

/**
 * The endpoint is to be granted these keys now, or to have them for longer.
 *
 * @param holdMs for how long, by the endpoint's clock, from when it arrives
 * @param handoff of the endpoint before; empty where there is none
 */
public record GrantCall(KeyRange range, long fence, double holdMs, String handoff) {}
