/**
 * The configuration as operators send it, its parsing and validation, and the routing table made from it.
 *
 * <p>Begin with {@link whinlead.mesh.config.MeshConfig}. {@link whinlead.mesh.config.ConfigValidator} runs only at
 * control nodes, because Bean Validation is slow to load; sidecars make a {@link whinlead.mesh.config.RoutingTable}
 * from the configuration that was agreed on. No I/O; any thread.
 */
package whinlead.mesh.config;
