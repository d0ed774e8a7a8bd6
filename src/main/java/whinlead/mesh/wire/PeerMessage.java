package whinlead.mesh.wire;

import java.util.List;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
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

/** What the system's own processes say to each other. */
public sealed interface PeerMessage {
    /** In place of a time of sending: the sender tells none. */
    long UNSTAMPED = Long.MIN_VALUE;

    /**
     * The first on every link: who it is, and whether a control node. Whoever is greeted by one that names its versions
     * greets back.
     */
    record Hello(String id, boolean controlNode, ProtocolVersion versions) implements PeerMessage {
        /** This program's greeting. */
        public Hello(String id, boolean controlNode) {
            this(id, controlNode, ProtocolVersion.OURS);
        }
    }

    /** A message of a later version, of which only the name of its kind is known. It is never written. */
    record Unknown(String kind) implements PeerMessage {}

    /** Endpoint records, one's own or passed on. */
    record EndpointUpdate(List<EndpointRecord> records) implements PeerMessage {}

    /** A sidecar has this slot's configuration and wants to be told of a newer one. */
    record Subscribe(long slot) implements PeerMessage {}

    /** A control node has this one. */
    record ConfigAvailable(long slot) implements PeerMessage {}

    /** Asks for the newest. */
    record FetchConfig() implements PeerMessage {}

    /** The newest known there, whole; {@code confirmed} tells that its control node reaches a quorum. */
    record ConfigUpdate(Decision decision, boolean confirmed) implements PeerMessage {}

    /**
     * Asks for a sign of life.
     *
     * @param sentAt when it was written, by the sender's steady clock in microseconds, or {@link #UNSTAMPED}
     */
    record Ping(long number, long sentAt) implements PeerMessage {
        /** One without a time of sending. */
        public Ping(long number) {
            this(number, UNSTAMPED);
        }
    }

    /**
     * The sign.
     *
     * @param number the question's
     * @param id who answers
     * @param slot the newest decision that it has on disk, or -1
     */
    record Pong(long number, String id, long slot) implements PeerMessage {}

    /** A sidecar that reaches no control node asks another sidecar which ones there are. */
    record FindControlNodes() implements PeerMessage {}

    /** The addresses of control nodes that are known here. */
    record ControlNodes(List<String> addresses) implements PeerMessage {}

    /** About a ballot. */
    record Consensus(Message message) implements PeerMessage {}

    /** A sidecar asks for a lease of tenants' limits, or to renew it. */
    record QuotaLeaseReport(LeaseReport report) implements PeerMessage {}

    /** A control node leases parts of tenants' limits. */
    record QuotaLeaseGrant(LeaseGrant grant) implements PeerMessage {}

    /** A sidecar asks for one token of a tenant's. */
    record QuotaTokenRequest(TokenRequest request) implements PeerMessage {}

    /** The answer. */
    record QuotaTokenResponse(TokenResponse response) implements PeerMessage {}

    /** A control node asks a voter for its vote for a duty. */
    record DutyQuestion(DutyRequest request) implements PeerMessage {}

    /** The voter's answer. */
    record DutyAnswer(DutyVote vote) implements PeerMessage {}

    /** A control node grants keys from now on: sidecars with keys report to it. */
    record KeyGrantorChanged(long epoch) implements PeerMessage {}

    /** A sidecar tells the control node that grants keys what it holds and needs. */
    record KeyLeaseReport(KeyReport report) implements PeerMessage {}

    /** A control node leases keys. */
    record KeyLeaseGrant(KeyLease lease) implements PeerMessage {}

    /** Where requests of a service go, by key. */
    record KeyRoutesUpdate(String service, List<KeyRoute> routes) implements PeerMessage {
        /** Copies the list. */
        public KeyRoutesUpdate {
            routes = List.copyOf(routes);
        }
    }

    /** A sidecar of an earlier version tells what it is asked for, and may ask for the sums. */
    record DemandReport(List<TenantDemand> uses, boolean wanted) implements PeerMessage {}

    /** The sums over so many sidecars of the tenants that the one who asked has named. */
    record DemandSums(int nodes, List<TenantDemand> totals) implements PeerMessage {}

    /**
     * A request on its way to an endpoint.
     *
     * @param stream names it on this link
     * @param headers names and values in turn
     * @param leftMs how long an answer is of use, in milliseconds
     * @param rank 0 is the highest
     * @param sentAt when it was written, by the sender's steady clock in microseconds, or {@link #UNSTAMPED}
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
        /** One without a time of sending. */
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

        /** The same request with another time left. */
        public ForwardRequest withLeft(int otherLeftMs) {
            return new ForwardRequest(stream, method, uri, headers, body, otherLeftMs, target, endpoint, rank, sentAt);
        }
    }

    /**
     * The client of a request that was sent on this link has left: if it is not yet at the endpoint, it never goes
     * there.
     *
     * @param stream the request's
     * @param whileRunning whether it is also to be ended where the endpoint is at work on it
     */
    record Cancel(long stream, boolean whileRunning) implements PeerMessage {}

    /** The endpoint's answer, whole, and how busy it is. */
    record ForwardResponse(long stream, int status, List<String> headers, byte[] body, double util, double perSecond)
            implements PeerMessage {}

    /** No answer, and how busy the endpoint is. */
    record ForwardFailure(long stream, FailureReason why, double util, double perSecond) implements PeerMessage {}

    /** Why there is no answer. */
    enum FailureReason {
        /** It has not run: the sidecar beside the endpoint saw that it is full. */
        FULL(true),
        /** It has not run: it arrived, and the endpoint said so. */
        TURNED_AWAY(true),
        /** It has not run: the endpoint is not there, is leaving, or is another. */
        MOVED(true),
        /** It has not run: the endpoint could not be connected to. */
        UNREACHED(true),
        /** It may have run: the connection broke or the answer was spoilt. */
        BROKEN(false),
        /** It may have run: the time was up. */
        LATE(false),
        /** It has not run: the endpoint does not own its key, as the sidecar beside it knows. */
        NOT_OWNER(true);

        /** Whether it is certain that it has not run and will not. */
        public final boolean neverRan;

        FailureReason(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }
}
