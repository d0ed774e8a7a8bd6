package whinlead.mesh.keys;

/**
 * Keys that are leased to a sidecar, as it reports them.
 *
 * @param serving whether the endpoint has accepted the grant, so that requests for these keys may be sent to it
 */
public record HeldKeys(KeyRange range, long fence, boolean serving) {}
