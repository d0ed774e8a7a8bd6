package whinlead.mesh.wire;

import java.util.List;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.departure.Departure;
import whinlead.mesh.duty.DutyRequest;
import whinlead.mesh.duty.DutyVote;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.quota.LeaseGrant;
import whinlead.mesh.quota.LeaseReport;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.quota.TokenRequest;
import whinlead.mesh.quota.TokenResponse;
import whinlead.mesh.registry.EndpointRecord;

/** Messages between the processes of the system. */
public sealed interface PeerMessage {
    /** Value of a sending time that the sender did not give. */
    long UNSTAMPED = Long.MIN_VALUE;
    /** Length of a body of which only the end will tell how long it is. */
    long UNKNOWN_LENGTH = -1;

    /**
     * The first message on every connection: the sender's name and whether it is a control node. A greeting that
     * contains versions is answered by a greeting.
     */
    record Hello(String id, boolean controlNode, ProtocolVersion versions) implements PeerMessage {
        /** Creates a greeting with this program's versions. */
        public Hello(String id, boolean controlNode) {
            this(id, controlNode, ProtocolVersion.SUPPORTED);
        }
    }

    /** A message of a later version of which only the kind is known. It is never sent. */
    record Unknown(String kind) implements PeerMessage {}

    /** Endpoint records, of the sender or forwarded by it. */
    record EndpointUpdate(List<EndpointRecord> records) implements PeerMessage {}

    /** A sidecar has the configuration of this slot and asks to be notified of newer ones. */
    record Subscribe(long slot) implements PeerMessage {}

    /** A control node has the configuration of this slot. */
    record ConfigAvailable(long slot) implements PeerMessage {}

    /** Requests the newest configuration. */
    record FetchConfig() implements PeerMessage {}

    /**
     * The complete newest configuration that the sender knows; {@code confirmed} tells that its control node reaches a
     * quorum.
     */
    record ConfigUpdate(Decision decision, boolean confirmed) implements PeerMessage {}

    /**
     * Asks the other side to show that it is alive.
     *
     * @param sentAt sending time by the sender's steady clock in microseconds, or {@link #UNSTAMPED}
     */
    record Ping(long number, long sentAt) implements PeerMessage {
        /** Creates a message without a sending time. */
        public Ping(long number) {
            this(number, UNSTAMPED);
        }
    }

    /**
     * The answer to a {@link Ping}.
     *
     * @param number of the ping
     * @param id of the process that answers
     * @param slot the newest decision that it has on disk, or -1
     */
    record Pong(long number, String id, long slot) implements PeerMessage {}

    /** A sidecar that reaches no control node asks another sidecar for the addresses of control nodes. */
    record FindControlNodes() implements PeerMessage {}

    /** The addresses of the control nodes that the sender knows. */
    record ControlNodes(List<String> addresses) implements PeerMessage {}

    /** A message of the consensus protocol. */
    record Consensus(Message message) implements PeerMessage {}

    /** A sidecar asks for a lease of tenants' limits, or for its renewal. */
    record QuotaLeaseReport(LeaseReport report) implements PeerMessage {}

    /** A control node leases parts of tenants' limits to a sidecar. */
    record QuotaLeaseGrant(LeaseGrant grant) implements PeerMessage {}

    /** A sidecar asks for one token of a tenant's limit. */
    record QuotaTokenRequest(TokenRequest request) implements PeerMessage {}

    /** The answer to a {@link QuotaTokenRequest}. */
    record QuotaTokenResponse(TokenResponse response) implements PeerMessage {}

    /** A control node asks a voter for its vote for a duty. */
    record DutyVoteRequest(DutyRequest request) implements PeerMessage {}

    /** The voter's answer. */
    record DutyVoteResponse(DutyVote vote) implements PeerMessage {}

    /** A control node announces that it grants keys from now on: sidecars of sharded services report to it. */
    record KeyGrantorChanged(long epoch) implements PeerMessage {}

    /** A sidecar reports the keys that it holds and needs to the control node that grants keys. */
    record KeyLeaseReport(KeyReport report) implements PeerMessage {}

    /** A control node leases keys to a sidecar. */
    record KeyLeaseGrant(KeyLease lease) implements PeerMessage {}

    /** Routes of a service's requests, by key. */
    record KeyRoutesUpdate(String service, List<KeyRoute> routes) implements PeerMessage {
        /** Copies the list. */
        public KeyRoutesUpdate {
            routes = List.copyOf(routes);
        }
    }

    /** A sidecar asks a control node to store that these endpoints beside it have announced their departure. */
    record DepartureReport(List<String> endpoints) implements PeerMessage {
        /** Copies the list. */
        public DepartureReport {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Departures that a control node has on disk: the answer to a {@link DepartureReport}, and sent to each sidecar
     * that connects.
     *
     * @param controlNode id of the control node
     * @param endpoints of the receiving sidecar
     */
    record DeparturesStored(String controlNode, List<String> endpoints) implements PeerMessage {
        /** Copies the list. */
        public DeparturesStored {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** Departures that a control node knows, sent to the other ones: all to each that connects, and then new ones. */
    record DepartureUpdate(List<Departure> departures) implements PeerMessage {
        /** Copies the list. */
        public DepartureUpdate {
            departures = List.copyOf(departures);
        }
    }

    /** A sidecar of an earlier version reports its demand and may ask for the totals. */
    record DemandReport(List<TenantDemand> demands, boolean wantsTotals) implements PeerMessage {}

    /** The total demand over this many sidecars, of the tenants that the receiver has reported. */
    record DemandSums(int sidecars, List<TenantDemand> totals) implements PeerMessage {}

    /**
     * A request that is forwarded to an endpoint.
     *
     * @param stream identifies the request on this connection
     * @param headers names and values in turn
     * @param leftMs time in milliseconds within which an answer is of use
     * @param rank 0 is the highest
     * @param sentAt sending time by the sender's steady clock in microseconds, or {@link #UNSTAMPED}
     */
    record ForwardRequest(
            long stream,
            String method,
            String uri,
            List<String> headers,
            byte[] body,
            int leftMs,
            String target,
            String endpoint,
            int rank,
            long sentAt)
            implements PeerMessage {
        /** Creates a message without a sending time. */
        public ForwardRequest(
                long stream,
                String method,
                String uri,
                List<String> headers,
                byte[] body,
                int leftMs,
                String target,
                String endpoint,
                int rank) {
            this(stream, method, uri, headers, body, leftMs, target, endpoint, rank, UNSTAMPED);
        }

        /** Copies this request with another sending time. */
        public ForwardRequest withSentAt(long newSentAt) {
            return new ForwardRequest(stream, method, uri, headers, body, leftMs, target, endpoint, rank, newSentAt);
        }

        /** Copies this request with another remaining time. */
        public ForwardRequest withLeft(int newRemainingMs) {
            return new ForwardRequest(
                    stream, method, uri, headers, body, newRemainingMs, target, endpoint, rank, sentAt);
        }
    }

    /**
     * A request whose body follows in parts, none of which is sent before the receiver has granted credit for it.
     *
     * @param request the request, with an empty body
     * @param bodyBytes length of the body, or {@link #UNKNOWN_LENGTH}
     */
    record ForwardRequestHead(ForwardRequest request, long bodyBytes) implements PeerMessage {}

    /** The next part of a request's body; the last one may be empty. */
    record BodyPart(long stream, byte[] bytes, boolean last) implements PeerMessage {}

    /** Grants credit for this many further bytes of a request's body. */
    record BodyCredit(long stream, int bytes) implements PeerMessage {}

    /**
     * The client of a request that was sent on this connection has left: if the request has not yet been sent to the
     * endpoint, it must not be.
     *
     * @param stream of the request
     * @param whileRunning whether the request is also to be ended if the endpoint is already running it
     */
    record Cancel(long stream, boolean whileRunning) implements PeerMessage {}

    /** The endpoint's complete response and its load. */
    record ForwardResponse(long stream, int status, List<String> headers, byte[] body, double util, double perSecond)
            implements PeerMessage {}

    /** A request without a response, and the endpoint's load. */
    record ForwardFailure(long stream, FailureReason reason, double util, double perSecond) implements PeerMessage {}

    /** Why there is no response. */
    enum FailureReason {
        /** Not executed: the sidecar beside the endpoint found it at capacity. */
        FULL(true),
        /** Not executed: the endpoint received and refused it. */
        TURNED_AWAY(true),
        /** Not executed: the endpoint is not there, is leaving or has been replaced. */
        MOVED(true),
        /** Not executed: no connection to the endpoint could be established. */
        UNREACHED(true),
        /** Possibly executed: the connection broke or the response was malformed. */
        BROKEN(false),
        /** Possibly executed: the time limit was reached. */
        LATE(false),
        /** Not executed: the endpoint does not own the request's key, as the sidecar beside it knows. */
        NOT_OWNER(true),
        /** Not executed: the other sidecar's version can't take the request. Never sent. */
        UNSUPPORTED(true);

        /** Whether the request certainly has not been executed and never will be. */
        public final boolean neverRan;

        FailureReason(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }
}
