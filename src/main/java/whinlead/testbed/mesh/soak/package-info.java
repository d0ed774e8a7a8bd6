/**
 * The soak: processes of the program on loopback under signals, kills, restarts and changes of the configuration that
 * overlap, all drawn from one seed, with clients that keep their connections until the process is gone.
 *
 * <p>Begin with {@link whinlead.testbed.mesh.soak.SoakRun}; {@link whinlead.testbed.mesh.soak.SoakHistory} checks what
 * was seen.
 */
package whinlead.testbed.mesh.soak;
