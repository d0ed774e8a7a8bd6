package whinlead.mesh.keys;

/**
 * Where requests of these keys go. Of two, the one with the higher fence holds, so whoever merges them in whatever
 * order ends with the same.
 *
 * @param node of the sidecar beside the owner
 */
public record KeyRoute(KeyRange range, long fence, String node) {}
