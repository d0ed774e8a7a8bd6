/**
 * What a group of standalone sidecars agrees on, so that requests that must not run twice are not forgotten with a
 * machine; {@code docs/copies.md}.
 *
 * <p>Begin with {@link whinlead.replication.ReplicatedState}, the replicated state machine, and
 * {@link whinlead.replication.ReplicationClient}, a member's side of it. Pure: no I/O, no clock, no threads.
 */
package whinlead.replication;
