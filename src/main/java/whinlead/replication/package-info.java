/**
 * Replicates among a group of standalone sidecars which requests must not run twice, so that the loss of a machine does
 * not lose this state; see {@code docs/copies.md}.
 *
 * <p>Begin with {@link whinlead.replication.ReplicatedState}, the replicated state machine, and
 * {@link whinlead.replication.ReplicationClient}, a member's client of its group. Pure: no I/O, no clock, no threads.
 */
package whinlead.replication;
