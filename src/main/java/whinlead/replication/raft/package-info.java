/**
 * Consensus in a replication group, based on MicroRaft: members, their incarnations and seats, and membership changes.
 *
 * <p>Begin with {@link whinlead.replication.raft.GroupHost}. No I/O: its inputs are messages and time, its outputs
 * messages; on the engine's thread.
 */
package whinlead.replication.raft;
