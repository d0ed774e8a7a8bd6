package whinlead.mesh.wire;

/** The kinds of letters, by the tag that stands first in the bytes of each. */
public enum PeerMessageKind {
    HELLO(1, false),
    POST(2, false),
    ASK(3, false),
    NOTICE(4, false),
    FETCH(5, false),
    NEWS(6, false),
    PING(7, true),
    PONG(8, true),
    PAPER(9, true),
    PARCEL(10, false),
    DELIVERED(11, false),
    RETURNED(12, false),
    USES(13, true),
    SUMS(14, true),
    SEEK(15, true),
    OFFICES(16, true),
    CANCEL(17, false);

    private final int tag;
    private final boolean repeated;

    PeerMessageKind(int tag, boolean repeated) {
        this.tag = tag;
        this.repeated = repeated;
    }

    /** The kind with this tag, or null if this version knows none. */
    static PeerMessageKind of(int tag) {
        for (PeerMessageKind kind : values()) {
            if (kind.tag == tag) {
                return kind;
            }
        }
        return null;
    }

    /** Whether its sender says it again, so that a lost one does no harm. */
    boolean repeated() {
        return repeated;
    }
}
