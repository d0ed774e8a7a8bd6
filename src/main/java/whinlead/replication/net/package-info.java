/**
 * The gRPC transport between the members of replication groups.
 *
 * <p>Begin with {@link whinlead.replication.net.GroupLink}. On the engine's loop.
 */
package whinlead.replication.net;
