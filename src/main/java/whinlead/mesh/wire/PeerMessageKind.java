package whinlead.mesh.wire;

/** The kinds of messages, by the tag that stands first in the bytes of each. */
public enum PeerMessageKind {
    HELLO(1, false),
    ENDPOINT_UPDATE(2, false),
    SUBSCRIBE(3, false),
    CONFIG_AVAILABLE(4, false),
    FETCH_CONFIG(5, false),
    CONFIG_UPDATE(6, false),
    PING(7, true),
    PONG(8, true),
    CONSENSUS(9, true),
    FORWARD_REQUEST(10, false),
    FORWARD_RESPONSE(11, false),
    FORWARD_FAILURE(12, false),
    DEMAND_REPORT(13, true),
    DEMAND_SUMS(14, true),
    FIND_CONTROL_NODES(15, true),
    CONTROL_NODES(16, true),
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
