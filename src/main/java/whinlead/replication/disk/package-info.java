/**
 * Stores a member's log in a file.
 *
 * <p>Begin with {@link whinlead.replication.disk.DiskLog}. On the engine's thread, which waits for the disk: nothing is
 * acknowledged before it is written.
 */
package whinlead.replication.disk;
