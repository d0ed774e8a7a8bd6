package whinlead.mesh.keys;

/**
 * Keys that a sidecar holds no more under this fence, and never will again.
 *
 * @param handoff what the endpoint gave for the next one; empty where it gave nothing
 */
public record ReleasedKeys(KeyRange range, long fence, String handoff) {}
