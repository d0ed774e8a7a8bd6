/**
 * The real consensus, connections and client side of the mesh under seeded schedules of faults, by a driven clock.
 *
 * <p>Begin with {@link whinlead.testbed.mesh.hardening.Point}, what schedules bring about, and
 * {@link whinlead.testbed.mesh.hardening.Hunt}, which plays many of them.
 */
package whinlead.testbed.mesh.hardening;
