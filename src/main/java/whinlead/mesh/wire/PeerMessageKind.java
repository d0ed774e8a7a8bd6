package whinlead.mesh.wire;

/** The kinds of messages, by the tag that stands first in the bytes of each. */
public enum PeerMessageKind {
    /** The first on every connection: who speaks, and which versions. */
    HELLO(1, false),
    /** Endpoint records, one's own or passed on. */
    ENDPOINT_UPDATE(2, false),
    /** A sidecar asks to be told of newer configurations. */
    SUBSCRIBE(3, false),
    /** A newer configuration can be fetched. */
    CONFIG_AVAILABLE(4, false),
    /** Asks for the newest configuration. */
    FETCH_CONFIG(5, false),
    /** The newest configuration. */
    CONFIG_UPDATE(6, false),
    /** Asks for a sign of life. */
    PING(7, true),
    /** The sign of life. */
    PONG(8, true),
    /** A message of the consensus. */
    CONSENSUS(9, true),
    /** A request on its way to an endpoint. */
    FORWARD_REQUEST(10, false),
    /** The endpoint's response. */
    FORWARD_RESPONSE(11, false),
    /** Why there is no response. */
    FORWARD_FAILURE(12, false),
    /** The demand of tenants at one sidecar. */
    DEMAND_REPORT(13, true),
    /** The demand of tenants over all sidecars. */
    DEMAND_SUMS(14, true),
    /** Asks which control nodes there are. */
    FIND_CONTROL_NODES(15, true),
    /** The control nodes that are known. */
    CONTROL_NODES(16, true),
    /** A request's client has left. */
    CANCEL(17, false),
    /** A sidecar asks for a lease of tenants' limits. */
    QUOTA_LEASE_REPORT(18, true),
    /** The lease. */
    QUOTA_LEASE_GRANT(19, true),
    /** A sidecar asks for one token of a tenant's. */
    QUOTA_TOKEN_REQUEST(20, true),
    /** Whether it gets one. */
    QUOTA_TOKEN_RESPONSE(21, true),
    /** Asks for a vote for a duty. */
    DUTY_REQUEST(22, true),
    /** The vote, or that there is none. */
    DUTY_VOTE(23, true),
    /** A control node grants keys from now on. */
    KEY_GRANTOR_CHANGED(24, true),
    /** What a sidecar holds of its service's keys. */
    KEY_REPORT(25, true),
    /** A lease of keys. */
    KEY_LEASE(26, true),
    /** Where requests go by key. */
    KEY_ROUTES(27, true);

    private final byte tag;
    private final boolean repeated;

    PeerMessageKind(int tag, boolean repeated) {
        this.tag = (byte) tag;
        this.repeated = repeated;
    }

    /** What stands first in the bytes of each message of this kind. */
    byte tag() {
        return tag;
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
