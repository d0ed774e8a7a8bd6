/**
 * The configuration as operators send it, how it is read and checked, and the routing table made from it.
 *
 * <p>Begin with {@link whinlead.mesh.config.MeshConfig}. {@link whinlead.mesh.config.ConfigValidator} runs at control
 * nodes only, for loading Bean Validation is slow; sidecars make a {@link whinlead.mesh.config.RoutingTable} of what
 * was agreed on. No I/O; any thread.
 */
package whinlead.mesh.config;
