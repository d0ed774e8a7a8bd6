package whinlead.mesh.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.duty.DutyCandidate;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.duty.DutyQuorum;
import whinlead.mesh.duty.DutyRequest;
import whinlead.mesh.duty.DutyVote;
import whinlead.mesh.duty.DutyVoter;
import whinlead.mesh.keys.FenceCounter;
import whinlead.mesh.keys.KeyGrantor;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.keys.KeyTerms;
import whinlead.mesh.log.Event;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;
import whinlead.mesh.wire.ProtocolVersion;

/**
 * A control node's part in granting keys: votes for the grantor, campaigns for the duty, and leases keys while it holds
 * the duty. On the loop's thread.
 *
 * <p>Each event reads the clock once, and this one reading decides whether the duty is held and dates the leases. So a
 * process that is suspended between two steps leases nothing under a duty that it has lost.
 */
final class KeyDuty {
    /** How often keys are planned for all services, in milliseconds. */
    private static final double PLAN_INTERVAL_MS = 250;

    /** After this long without a report, nobody campaigns for the duty. */
    private static final double DEMAND_VALID_MS = 5000;

    /** Stands in for a promise that can't be read. */
    private static final DutyPromise UNREADABLE_PROMISE = new DutyPromise(1, "unreadable");

    /** Persists votes. */
    interface Recorder {
        /** Runs the callback once the promise is on disk; never, if it can't be written or a later one replaces it. */
        void whenRecorded(DutyPromise promise, Runnable onRecorded);
    }

    /** Sends messages to other control nodes. */
    interface Peers {
        /** Sends a message to the voter with this id. */
        void send(String voter, PeerMessage message);
    }

    private final DoubleSupplier clockMs;
    private final BooleanSupplier confirmed;
    private final String id;
    private final Peers peers;
    private final Recorder recorder;
    private final DutyQuorum quorum;
    private final DutyVoter voter;
    private final DutyCandidate candidate;
    /** The sidecars' connections in the order in which they were opened; for each node only the last one is used. */
    private final Map<MessageSender, String> sidecars = new LinkedHashMap<>();

    private final Map<String, MessageSender> newestConnections = new HashMap<>();
    private final Map<String, KeyGrantor> grantors = new LinkedHashMap<>();
    private final LongFunction<FenceCounter> fenceCounters;
    private FenceCounter fences;
    private double termStartedAtMs;
    private double plannedAtMs;
    /** When a sidecar last reported, whether or not this control node grants keys. */
    private double reportedAtMs = Double.NEGATIVE_INFINITY;

    private boolean wasHolder;

    /**
     * The state of a process that starts.
     *
     * @param clockMs steady, in milliseconds
     * @param confirmed whether a quorum has recently confirmed that there is no newer decision
     * @param id this control node's id
     * @param decided the decision on its disk, or null
     * @param promise the promise on its disk; null if it can't be read
     * @param recorder persists later promises
     */
    KeyDuty(
            DoubleSupplier clockMs,
            BooleanSupplier confirmed,
            String id,
            Decision decided,
            DutyPromise promise,
            Recorder recorder,
            Peers peers) {
        this(clockMs, confirmed, id, decided, promise, recorder, peers, FenceCounter::new);
    }

    /**
     * The state of a process that starts.
     *
     * @param fenceCounters creates the fence counter of a term, by its epoch
     */
    KeyDuty(
            DoubleSupplier clockMs,
            BooleanSupplier confirmed,
            String id,
            Decision decided,
            DutyPromise promise,
            Recorder recorder,
            Peers peers,
            LongFunction<FenceCounter> fenceCounters) {
        this.fenceCounters = fenceCounters;
        this.clockMs = clockMs;
        this.confirmed = confirmed;
        this.id = id;
        this.peers = peers;
        this.recorder = recorder;
        double nowMs = clockMs.getAsDouble();
        boolean founding = promise != null && decided != null && decided.slot() == 0;
        this.quorum = new DutyQuorum(
                nowMs, id, decided == null ? -1 : decided.slot(), decided == null ? List.of() : decided.voters());
        // An unreadable promise may stand for any vote, so no vote is given until it has certainly expired.
        this.voter = new DutyVoter(nowMs, promise == null ? UNREADABLE_PROMISE : promise, founding);
        this.candidate = new DutyCandidate(id, quorum, this::requestVote);
    }

    /** A newer decision is known. */
    void decided(Decision decision) {
        quorum.decided(clockMs.getAsDouble(), decision.slot(), decision.voters());
    }

    private void requestVote(String recipient, DutyRequest request) {
        if (recipient.equals(id)) {
            voteRequested(id, request);
        } else {
            peers.send(recipient, new PeerMessage.DutyVoteRequest(request));
        }
    }

    /** A control node requests this one's vote. */
    void voteRequested(String from, DutyRequest request) {
        double nowMs = clockMs.getAsDouble();
        DutyVote vote = voter.vote(
                nowMs, from, request, quorum.mayVote(nowMs) && quorum.voters().contains(from));
        if (vote.granted()) {
            recorder.whenRecorded(voter.promise(), () -> sendVote(from, vote));
        } else {
            sendVote(from, vote);
        }
    }

    private void sendVote(String recipient, DutyVote vote) {
        if (recipient.equals(id)) {
            voteReceived(id, vote);
        } else {
            peers.send(recipient, new PeerMessage.DutyVoteResponse(vote));
        }
    }

    /** A voter answers. */
    void voteReceived(String from, DutyVote vote) {
        candidate.voteReceived(clockMs.getAsDouble(), from, vote);
        updateHolder();
    }

    /** Advances time. Must be called several times a second. */
    void tick() {
        double nowMs = clockMs.getAsDouble();
        // Without a service divided by key, no grantor is needed.
        boolean isNeeded = wasHolder || nowMs - reportedAtMs < DEMAND_VALID_MS;
        candidate.tick(nowMs, voter, isNeeded && confirmed.getAsBoolean());
        if (fences != null && fences.isExhausted() && fences.epoch() == candidate.epoch()) {
            // Only a new term has further fences.
            candidate.resign(nowMs);
        }
        updateHolder();
        if (holdsDuty(nowMs) && nowMs - plannedAtMs >= PLAN_INTERVAL_MS) {
            plannedAtMs = nowMs;
            grantors.forEach((service, grantor) -> {
                grantor.plan(nowMs);
                sendChanges(nowMs, service, grantor);
            });
        }
    }

    private boolean holdsDuty(double nowMs) {
        return candidate.isHolder(nowMs, confirmed.getAsBoolean());
    }

    private void updateHolder() {
        double nowMs = clockMs.getAsDouble();
        boolean isHolder = holdsDuty(nowMs);
        boolean isNewTerm = isHolder && (fences == null || fences.epoch() != candidate.epoch());
        if (isNewTerm) {
            grantors.clear();
            fences = fenceCounters.apply(candidate.epoch());
            termStartedAtMs = nowMs;
        }
        if (isHolder && (isNewTerm || !wasHolder)) {
            Event.KEY_GRANTING_STARTED.log("epoch " + candidate.epoch());
            announceAll();
        } else if (wasHolder && !isHolder) {
            Event.KEY_GRANTING_STOPPED.log("epoch " + fences.epoch());
        }
        wasHolder = isHolder;
    }

    private void announceAll() {
        sidecars.keySet().forEach(connection -> connection.send(new PeerMessage.KeyGrantorChanged(candidate.epoch())));
    }

    /** A sidecar has sent its greeting on a connection that it opened. */
    void sidecarConnected(MessageSender connection) {
        sidecars.put(connection, connection.peer());
        newestConnections.put(connection.peer(), connection);
        if (holdsDuty(clockMs.getAsDouble())) {
            connection.send(new PeerMessage.KeyGrantorChanged(candidate.epoch()));
            grantors.forEach((service, grantor) -> sendRoutes(connection, service, grantor.routes()));
        }
    }

    /** A connection has ended. */
    void closed(MessageSender connection) {
        String node = sidecars.remove(connection);
        if (node != null) {
            newestConnections.remove(node, connection);
        }
    }

    /** A sidecar reports. */
    void report(MessageSender connection, KeyReport report) {
        double nowMs = clockMs.getAsDouble();
        String node = connection.peer();
        reportedAtMs = nowMs;
        // Messages of an earlier process of the sidecar may still arrive on an earlier connection.
        if (!holdsDuty(nowMs) || newestConnections.get(node) != connection) {
            return;
        }
        KeyGrantor grantor = grantorFor(nowMs, report.service());
        if (grantor == null || !grantor.handleReport(nowMs, node, report)) {
            return;
        }
        if (!report.released().isEmpty() || report.leaving()) {
            grantor.plan(nowMs);
        }
        sendLease(nowMs, node, grantor);
        sendChanges(nowMs, report.service(), grantor);
    }

    private KeyGrantor grantorFor(double nowMs, String service) {
        KeyGrantor grantor = grantors.get(service);
        if (grantor == null && grantors.size() >= KeyTerms.MAX_SERVICES) {
            grantors.values().removeIf(each -> each.isIdle(nowMs));
        }
        if (grantor == null && grantors.size() < KeyTerms.MAX_SERVICES) {
            // Before the first term nothing was leased; after the maximum duration of a lease, all leases of earlier
            // terms have ended.
            boolean nothingLeased = candidate.isFirstTerm() || nowMs - termStartedAtMs > KeyTerms.COUNTED_MS;
            grantor = new KeyGrantor(nowMs, candidate.epoch(), fences, nothingLeased);
            grantors.put(service, grantor);
        }
        return grantor;
    }

    private void sendChanges(double nowMs, String service, KeyGrantor grantor) {
        grantor.takeNodesToNotify().forEach(node -> sendLease(nowMs, node, grantor));
        List<KeyRoute> routes = grantor.takeNewRoutes();
        if (!routes.isEmpty()) {
            byte[] encoded = PeerMessageCodec.write(new PeerMessage.KeyRoutesUpdate(service, routes));
            sidecars.keySet().stream()
                    .filter(connection -> connection.version() >= ProtocolVersion.KEYS)
                    .forEach(connection -> connection.send(encoded));
        }
    }

    private void sendLease(double nowMs, String node, KeyGrantor grantor) {
        MessageSender connection = newestConnections.get(node);
        KeyLease lease = connection == null ? null : grantor.createLease(nowMs, node);
        if (lease != null) {
            connection.send(new PeerMessage.KeyLeaseGrant(lease));
        }
    }

    private static void sendRoutes(MessageSender connection, String service, List<KeyRoute> routes) {
        if (!routes.isEmpty()) {
            connection.send(new PeerMessage.KeyRoutesUpdate(service, routes));
        }
    }
}
