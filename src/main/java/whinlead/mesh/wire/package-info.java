/**
 * The protocol between the processes of the mesh, over TCP: MessagePack messages, each after its length.
 *
 * <p>Start with {@link whinlead.mesh.wire.PeerMessage}, the list of messages.
 * {@link whinlead.mesh.wire.PeerMessageCodec} encodes and decodes them and states how they may be extended;
 * {@link whinlead.mesh.wire.PeerConnection} is one connection; {@link whinlead.mesh.wire.ReconnectingConnection} is a
 * connection that is re-established and monitored by pings. Connections are used on their event loop's thread. This
 * package may use the values of {@code consensus}, {@code registry} and {@code quota}.
 */
package whinlead.mesh.wire;
