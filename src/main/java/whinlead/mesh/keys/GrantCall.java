package whinlead.mesh.keys;

/**
 * A call that grants the endpoint these keys, or extends its grant.
 *
 * @param holdMs duration of the grant by the endpoint's clock, from when the call arrives
 * @param handoff of the previous endpoint; empty if there is none
 */
public record GrantCall(KeyRange range, long fence, double holdMs, String handoff) {}
