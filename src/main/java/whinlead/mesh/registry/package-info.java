/**
 * The known sidecars and their local endpoints, as mergeable state: merging the same records in any order gives the
 * same registry.
 *
 * <p>Begin with {@link whinlead.mesh.registry.EndpointRecord}. Pure; one thread; uses {@code java.util} only.
 */
package whinlead.mesh.registry;
