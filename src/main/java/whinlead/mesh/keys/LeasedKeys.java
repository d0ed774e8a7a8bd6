package whinlead.mesh.keys;

/**
 * Keys that are leased to a sidecar.
 *
 * @param fence increases with each owner of a key
 * @param handoff data that the previous endpoint left for this one; empty if there is none
 */
public record LeasedKeys(KeyRange range, long fence, String handoff) {}
