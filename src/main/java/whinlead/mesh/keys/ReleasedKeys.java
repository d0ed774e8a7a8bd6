package whinlead.mesh.keys;

/**
 * Keys that a sidecar no longer holds under this fence and never will again.
 *
 * @param handoff data that the endpoint left for the next one; empty if there is none
 */
public record ReleasedKeys(KeyRange range, long fence, String handoff) {}
