package whinlead.mesh.wire;

/** The sending side of a connection to another process. */
public interface MessageSender {
    /** The name of the other process; null before its greeting has arrived. */
    String peer();

    /** The protocol version that both sides use. */
    int version();

    /** Sends a message if the other side's version knows its kind. */
    void send(PeerMessage message);

    /** Sends an encoded message, of a kind that the other side's version knows. */
    void send(byte[] encoded);
}
