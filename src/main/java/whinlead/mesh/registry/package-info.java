/**
 * What is known of the sidecars and the endpoints beside them, as mergeable state: whoever merges the same records in
 * whatever order ends with the same registry.
 *
 * <p>Begin with {@link whinlead.mesh.registry.EndpointRecord}. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.registry;
