package whinlead.mesh.keys;

/**
 * Keys that are leased to a sidecar.
 *
 * @param fence rises with each owner of a key
 * @param handoff what the endpoint before gave for this one; empty where there is nothing
 */
public record LeasedKeys(KeyRange range, long fence, String handoff) {}
