/**
 * The command line of the mesh's roles, and what follows the settings file while a process runs.
 *
 * <p>Begin with {@link whinlead.mesh.run.MeshCommand}. May use all of the mesh; only the program's main class uses it.
 */
package whinlead.mesh.run;
