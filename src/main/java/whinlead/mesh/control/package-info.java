/**
 * The control node, the process on a core machine: it accepts configurations from operators, agrees on them with the
 * other control nodes, and sends sidecars the newest one and each other's endpoints.
 *
 * <p>Begin with {@link whinlead.mesh.control.ControlNode}, which assembles the parts. All state belongs to one event
 * loop; {@link whinlead.mesh.control.StateWriter} owns the thread that waits for the disk. May use every package of the
 * mesh but {@code sidecar} and {@code run}.
 */
package whinlead.mesh.control;
