package whinlead.mesh.wire;

/** The kinds of messages, each with the tag that is the first byte of its encoding. */
public enum PeerMessageKind {
    /** The first message on every connection: the sender's name and versions. */
    HELLO(1, false),
    /** Endpoint records, of the sender or forwarded by it. */
    ENDPOINT_UPDATE(2, false),
    /** A sidecar asks to be notified of newer configurations. */
    SUBSCRIBE(3, false),
    /** A newer configuration can be fetched. */
    CONFIG_AVAILABLE(4, false),
    /** Requests the newest configuration. */
    FETCH_CONFIG(5, false),
    /** The newest configuration. */
    CONFIG_UPDATE(6, false),
    /** Asks the other side to show that it is alive. */
    PING(7, true),
    /** The answer to a ping. */
    PONG(8, true),
    /** A message of the consensus protocol. */
    CONSENSUS(9, true),
    /** A request that is forwarded to an endpoint. */
    FORWARD_REQUEST(10, false),
    /** The endpoint's response. */
    FORWARD_RESPONSE(11, false),
    /** Why there is no response. */
    FORWARD_FAILURE(12, false),
    /** The demand of tenants at one sidecar. */
    DEMAND_REPORT(13, true),
    /** The demand of tenants over all sidecars. */
    DEMAND_SUMS(14, true),
    /** Asks for the addresses of control nodes. */
    FIND_CONTROL_NODES(15, true),
    /** The addresses of the control nodes that the sender knows. */
    CONTROL_NODES(16, true),
    /** The client of a request has left. */
    CANCEL(17, false),
    /** A sidecar asks for a lease of tenants' limits. */
    QUOTA_LEASE_REPORT(18, true),
    /** A lease of tenants' limits. */
    QUOTA_LEASE_GRANT(19, true),
    /** A sidecar asks for one token of a tenant's limit. */
    QUOTA_TOKEN_REQUEST(20, true),
    /** Whether a token is granted. */
    QUOTA_TOKEN_RESPONSE(21, true),
    /** Asks a voter for its vote for a duty. */
    DUTY_REQUEST(22, true),
    /** The vote, or its refusal. */
    DUTY_VOTE(23, true),
    /** A control node announces that it grants keys from now on. */
    KEY_GRANTOR_CHANGED(24, true),
    /** A sidecar's report of the keys that it holds. */
    KEY_REPORT(25, true),
    /** A lease of keys. */
    KEY_LEASE(26, true),
    /** Routes of requests by key. */
    KEY_ROUTES(27, true),
    /** A request that is forwarded to an endpoint without its body, which follows in parts. */
    FORWARD_REQUEST_HEAD(28, false),
    /** A part of a request's body. */
    BODY_PART(29, false),
    /** How many more bytes of a request's body may be sent. */
    BODY_CREDIT(30, false),
    /** Endpoints beside a sidecar have announced their departure. */
    DEPARTURE_REPORT(31, true),
    /** The departures of a sidecar's endpoints that a control node has on disk. */
    DEPARTURES_STORED(32, true),
    /** Departures that a control node knows, for another one. */
    DEPARTURE_UPDATE(33, true);

    private final byte tag;
    private final boolean isRepeated;

    PeerMessageKind(int tag, boolean repeated) {
        this.tag = (byte) tag;
        this.isRepeated = repeated;
    }

    /** The first byte of each message of this kind. */
    byte tag() {
        return tag;
    }

    /** The kind with this tag, or null if this version does not know it. */
    static PeerMessageKind forTag(int tag) {
        for (PeerMessageKind kind : values()) {
            if (kind.tag == tag) {
                return kind;
            }
        }
        return null;
    }

    /** Whether senders repeat such messages, so that losing one does no harm. */
    boolean isRepeated() {
        return isRepeated;
    }
}
