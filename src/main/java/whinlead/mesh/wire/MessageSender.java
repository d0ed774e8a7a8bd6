package whinlead.mesh.wire;

/** One connection of another process to this one, as far as one sends on it. */
public interface MessageSender {
    /** The name of the other process; null before it has greeted. */
    String peer();

    /** The protocol version that both sides speak. */
    int version();

    /** Sends a message if the other side's version knows its kind. */
    void send(PeerMessage message);

    /** Sends a message that was written before, of a kind that the other side's version knows. */
    void send(byte[] encoded);
}
