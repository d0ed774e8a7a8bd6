/**
 * The protocol that the mesh's own processes speak to each other over TCP: MessagePack messages behind their length.
 *
 * <p>Begin with {@link whinlead.mesh.wire.PeerMessage}, the list of messages;
 * {@link whinlead.mesh.wire.PeerMessageCodec} writes and reads them and says how they may grow,
 * {@link whinlead.mesh.wire.PeerConnection} is one connection, {@link whinlead.mesh.wire.ReconnectingConnection} one
 * that is dialled again and watched by pings. Connections belong to their event loop's thread. May use the values of
 * {@code consensus}, {@code registry} and {@code quota}.
 */
package whinlead.mesh.wire;
