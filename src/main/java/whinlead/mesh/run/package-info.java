/**
 * The command line of the mesh's roles, and the watcher of the settings file of a running process.
 *
 * <p>Begin with {@link whinlead.mesh.run.MeshCommand}. May use all of the mesh; only the program's main class uses it.
 */
package whinlead.mesh.run;
