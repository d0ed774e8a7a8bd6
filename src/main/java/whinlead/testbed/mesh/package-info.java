/**
 * The mesh on loopback: settings for its processes, endpoints that answer, and relays between them that fail.
 *
 * <p>Begin with {@link whinlead.testbed.mesh.LocalMeshRun}.
 */
package whinlead.testbed.mesh;
