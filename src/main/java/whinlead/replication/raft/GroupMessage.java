package whinlead.replication.raft;

/**
 * What one process says to another of its group, by the members' names, which outlive processes.
 *
 * @param fromLife the sender's, 0 while it has none
 * @param toLife the receiver's that it is meant for, 0 for whichever there is
 * @param speaks what the sender's program can take in
 */
public record GroupMessage(String from, long fromLife, long toLife, int speaks, Envelope what) {
    /** What this program can take in; counted up with each kind of message or command that is added. */
    public static final int SPEAKS = 2;
    /** From this on a member hears those that are none of the first members. */
    public static final int GUESTS = 2;

    /** From this program. */
    public GroupMessage(String from, long fromLife, long toLife, Envelope what) {
        this(from, fromLife, toLife, SPEAKS, what);
    }
}
