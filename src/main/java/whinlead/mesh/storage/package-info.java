/**
 * The state of a control node that must survive a loss of power: one row in an SQLite file, replaced and synced at each
 * write.
 *
 * <p>Begin with {@link whinlead.mesh.storage.StateStore}; {@code StateSchema} has the file formats. The content is
 * opaque to this package. Calls block on the disk; one thread.
 */
package whinlead.mesh.storage;
