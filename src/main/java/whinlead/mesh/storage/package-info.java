/**
 * What a control node must remember after a loss of power: one row in an SQLite file, replaced and synced at each
 * write.
 *
 * <p>Begin with {@link whinlead.mesh.storage.StateStore}; {@code StateSchema} holds the formats that files may have.
 * Knows nothing of what the bytes mean. Calls block on the disk; one thread.
 */
package whinlead.mesh.storage;
