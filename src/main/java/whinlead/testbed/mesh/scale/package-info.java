/**
 * What the control plane costs at which size, measured on processes.
 *
 * <p>Begin with {@link whinlead.testbed.mesh.scale.ScaleRehearsal}.
 */
package whinlead.testbed.mesh.scale;
