package whinlead.mesh.keys;

/**
 * Keys that a sidecar holds.
 *
 * @param serving whether the endpoint has taken the grant, so that requests of these keys are welcome
 */
public record HeldKeys(KeyRange range, long fence, boolean serving) {}
