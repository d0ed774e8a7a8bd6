/**
 * The consensus of a replication group, on MicroRaft: members, their incarnations and seats, changes of members.
 *
 * <p>Begin with {@link whinlead.replication.raft.GroupHost}. No I/O: messages and time come in, messages go out; on the
 * engine's thread.
 */
package whinlead.replication.raft;
