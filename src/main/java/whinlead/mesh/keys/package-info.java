/**
 * Assignment of keys to endpoints, for services that are sharded by key: ranges of keys are leased to the sidecars
 * beside the endpoints, and the sidecars grant them to the endpoints.
 *
 * <p>Start with {@link whinlead.mesh.keys.KeyGrantor}, which leases keys, and {@link whinlead.mesh.keys.KeyHolder},
 * which holds the leases at a sidecar. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.keys;
