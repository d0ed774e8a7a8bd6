/**
 * Which endpoint runs the requests of which keys, for services that are divided by key: ranges of keys are leased to
 * the sidecars beside the endpoints, which grant them on.
 *
 * <p>Begin with {@link whinlead.mesh.keys.KeyGrantor}, which leases, and {@link whinlead.mesh.keys.KeyHolder}, which
 * holds. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.keys;
