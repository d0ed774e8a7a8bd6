/**
 * Numbered events of the mesh's processes, one line each on standard error; {@code docs/events.md} is the catalogue.
 *
 * <p>Begin with {@link whinlead.mesh.log.Event}. Numbers are never reused. Any thread.
 */
package whinlead.mesh.log;
