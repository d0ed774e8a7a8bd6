/**
 * Consensus on the mesh's configuration among the control nodes: single-decree Paxos, one slot after another, without a
 * permanent leader.
 *
 * <p>Begin with {@link whinlead.mesh.consensus.ConsensusNode}, one control node's part in it: it takes events with the
 * time and emits actions. {@link whinlead.mesh.consensus.Acceptor} holds what a node has promised and accepted;
 * {@link whinlead.mesh.consensus.Decision} is the complete state agreed on in one slot.
 *
 * <p>Pure: no I/O, no clock, no threads, and nothing outside this package and {@code java.util}. A caller drives one
 * node from one thread and syncs {@link whinlead.mesh.consensus.Acceptor.State} before it sends a reply that depends on
 * it. Times are in milliseconds on the caller's steady clock.
 */
package whinlead.mesh.consensus;
