/**
 * Runs the real consensus, connections and client side of the mesh under seeded schedules of faults, with a driven
 * clock.
 *
 * <p>Start with {@link whinlead.testbed.mesh.hardening.Scenario}, the kinds of schedules, and
 * {@link whinlead.testbed.mesh.hardening.ScheduleRunner}, which plays many of them.
 */
package whinlead.testbed.mesh.hardening;
