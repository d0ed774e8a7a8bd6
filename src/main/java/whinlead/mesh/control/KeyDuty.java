package whinlead.mesh.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
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
 * A control node's part in granting keys: votes for the one that does, stands for it, and leases keys while it is the
 * one. On the loop's thread.
 *
 * <p>Each event reads the clock once, asks by this reading whether the duty is held, and leases by the same reading: so
 * a process that stands still between two steps leases nothing by a duty that it has lost.
 */
final class KeyDuty {
    /** Divided services that keys are granted for. */
    private static final int MAX_SERVICES = 64;
    /** How often keys are planned for all services, in milliseconds. */
    private static final double PLAN_MS = 250;

    /** Without a report for so long nobody stands for the duty. */
    private static final double WANTED_MS = 5000;

    /** In place of a vote that can't be read. */
    private static final DutyPromise UNREADABLE = new DutyPromise(1, "unreadable");

    /** Has a vote on disk. */
    interface Recorder {
        /** Runs this once the promise is on disk; never, if it can't be written or a later one takes its place. */
        void whenRecorded(DutyPromise promise, Runnable then);
    }

    /** Sends a message to another control node. */
    interface Peers {
        /** Sends it to the voter of this id. */
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
    /** Sidecars' connections, in the order in which they were opened; of one node the last one counts. */
    private final Map<MessageSender, String> sidecars = new LinkedHashMap<>();

    private final Map<String, MessageSender> newest = new HashMap<>();
    private final Map<String, KeyGrantor> grantors = new LinkedHashMap<>();
    private FenceCounter fences;
    private double startedAt;
    private double plannedAt;
    /** When a sidecar reported last, whether or not this control node grants keys. */
    private double reportedAt = Double.NEGATIVE_INFINITY;

    private boolean holds;

    /**
     * A process starts.
     *
     * @param clockMs steady, in milliseconds
     * @param confirmed whether a quorum has lately confirmed that there is no newer decision
     * @param id this control node's
     * @param decided the decision on its disk, or null
     * @param promise what its disk has of its votes; null where that can't be read
     * @param recorder has later votes on disk
     */
    KeyDuty(
            DoubleSupplier clockMs,
            BooleanSupplier confirmed,
            String id,
            Decision decided,
            DutyPromise promise,
            Recorder recorder,
            Peers peers) {
        this.clockMs = clockMs;
        this.confirmed = confirmed;
        this.id = id;
        this.peers = peers;
        this.recorder = recorder;
        double now = clockMs.getAsDouble();
        boolean founding = promise != null && decided != null && decided.slot() == 0;
        this.quorum = new DutyQuorum(
                now, id, decided == null ? -1 : decided.slot(), decided == null ? List.of() : decided.voters());
        // What can't be read may be any vote: none is given until it has surely ended.
        this.voter = new DutyVoter(now, promise == null ? UNREADABLE : promise, founding);
        this.candidate = new DutyCandidate(id, quorum, this::ask);
    }

    /** A newer decision is known. */
    void decided(Decision decision) {
        quorum.decided(clockMs.getAsDouble(), decision.slot(), decision.voters());
    }

    private void ask(String other, DutyRequest request) {
        if (other.equals(id)) {
            vote(id, request);
        } else {
            peers.send(other, new PeerMessage.DutyQuestion(request));
        }
    }

    /** A control node asks for this one's vote. */
    void vote(String from, DutyRequest request) {
        double now = clockMs.getAsDouble();
        DutyVote vote = voter.vote(
                now, from, request, quorum.mayVote(now) && quorum.voters().contains(from));
        if (vote.granted()) {
            recorder.whenRecorded(voter.promise(), () -> answer(from, vote));
        } else {
            answer(from, vote);
        }
    }

    private void answer(String to, DutyVote vote) {
        if (to.equals(id)) {
            answered(id, vote);
        } else {
            peers.send(to, new PeerMessage.DutyAnswer(vote));
        }
    }

    /** A voter answers. */
    void answered(String from, DutyVote vote) {
        candidate.answered(clockMs.getAsDouble(), from, vote);
        update();
    }

    /** Time passes. To be called several times a second. */
    void tick() {
        double now = clockMs.getAsDouble();
        // Where no service is divided by key nobody need grant any.
        boolean wanted = holds || now - reportedAt < WANTED_MS;
        candidate.tick(now, voter, wanted && confirmed.getAsBoolean());
        update();
        if (holds(now) && now - plannedAt >= PLAN_MS) {
            plannedAt = now;
            grantors.forEach((service, grantor) -> {
                grantor.plan(now);
                send(now, service, grantor);
            });
        }
    }

    private boolean holds(double now) {
        return candidate.isHolder(now, confirmed.getAsBoolean());
    }

    private void update() {
        double now = clockMs.getAsDouble();
        boolean holdsNow = holds(now);
        boolean otherTerm = holdsNow && (fences == null || fences.epoch() != candidate.epoch());
        if (otherTerm) {
            grantors.clear();
            fences = new FenceCounter(candidate.epoch());
            startedAt = now;
        }
        if (holdsNow && (otherTerm || !holds)) {
            Event.GRANTS_KEYS.log("epoch " + candidate.epoch());
            announceAll();
        } else if (holds && !holdsNow) {
            Event.GRANTS_KEYS_NO_MORE.log("epoch " + fences.epoch());
        }
        holds = holdsNow;
    }

    private void announceAll() {
        sidecars.keySet().forEach(each -> each.send(new PeerMessage.KeyGrantorChanged(candidate.epoch())));
    }

    /** A sidecar has greeted on a connection of its own. */
    void greeted(MessageSender connection) {
        sidecars.put(connection, connection.peer());
        newest.put(connection.peer(), connection);
        if (holds(clockMs.getAsDouble())) {
            connection.send(new PeerMessage.KeyGrantorChanged(candidate.epoch()));
            grantors.forEach((service, grantor) -> sendRoutes(connection, service, grantor.routes()));
        }
    }

    /** A connection has ended. */
    void closed(MessageSender connection) {
        String node = sidecars.remove(connection);
        if (node != null) {
            newest.remove(node, connection);
        }
    }

    /** A sidecar reports. */
    void report(MessageSender connection, KeyReport report) {
        double now = clockMs.getAsDouble();
        String node = connection.peer();
        reportedAt = now;
        // What an earlier process of it sent may still come on an earlier connection.
        if (!holds(now) || newest.get(node) != connection) {
            return;
        }
        KeyGrantor grantor = grantor(now, report.service());
        if (grantor == null || !grantor.report(now, node, report)) {
            return;
        }
        if (!report.released().isEmpty() || report.leaving()) {
            grantor.plan(now);
        }
        sendLease(now, node, grantor);
        send(now, report.service(), grantor);
    }

    private KeyGrantor grantor(double now, String service) {
        KeyGrantor known = grantors.get(service);
        if (known == null && grantors.size() < MAX_SERVICES) {
            // Nothing was leased before the first term; and later than a lease may last, nothing of an earlier one is
            // left.
            boolean nothingLeased = candidate.isFirstTerm() || now - startedAt > KeyTerms.COUNTED_MS;
            known = new KeyGrantor(now, candidate.epoch(), fences, nothingLeased);
            grantors.put(service, known);
        }
        return known;
    }

    private void send(double now, String service, KeyGrantor grantor) {
        grantor.takeDirty().forEach(node -> sendLease(now, node, grantor));
        List<KeyRoute> routes = grantor.takeNewRoutes();
        if (!routes.isEmpty()) {
            byte[] encoded = PeerMessageCodec.write(new PeerMessage.KeyRoutesUpdate(service, routes));
            sidecars.keySet().stream()
                    .filter(each -> each.version() >= ProtocolVersion.KEYS)
                    .forEach(each -> each.send(encoded));
        }
    }

    private void sendLease(double now, String node, KeyGrantor grantor) {
        MessageSender connection = newest.get(node);
        KeyLease lease = connection == null ? null : grantor.lease(now, node);
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
