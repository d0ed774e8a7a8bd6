/**
 * Rolling upgrades between two versions of the program, on processes under requests and changes.
 *
 * <p>Begin with {@link whinlead.testbed.mesh.upgrade.Rollout}.
 */
package whinlead.testbed.mesh.upgrade;
