package whinlead.replication.raft;

/**
 * A message from one process to another, addressed by name, which stays the same over restarts.
 *
 * @param sender the sending process's name
 * @param senderIncarnation 0 while the sender has none
 * @param receiverIncarnation the incarnation that the message is for; 0 for any
 * @param protocolVersion that the sender supports
 */
public record GroupMessage(
        String sender, long senderIncarnation, long receiverIncarnation, int protocolVersion, Envelope envelope) {
    /** The version that this program supports; incremented with each new kind of message or command. */
    public static final int PROTOCOL_VERSION = 2;
    /** From this version on, a member accepts messages of guests, which are not founding members. */
    public static final int GUESTS_VERSION = 2;

    /** A message of this program's version. */
    public GroupMessage(String sender, long senderIncarnation, long receiverIncarnation, Envelope envelope) {
        this(sender, senderIncarnation, receiverIncarnation, PROTOCOL_VERSION, envelope);
    }
}
