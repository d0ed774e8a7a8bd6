package whinlead.mesh.keys;

/**
 * The route of requests for these keys. Of two routes of a key the one with the higher fence applies, so merging in any
 * order gives the same result.
 *
 * @param node of the sidecar beside the owner
 */
public record KeyRoute(KeyRange range, long fence, String node) {}
