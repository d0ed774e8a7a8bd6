package whinlead.mesh.control;

import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.log.Event;
import whinlead.mesh.quota.GrantAuthority;
import whinlead.mesh.quota.LeaseGrant;
import whinlead.mesh.quota.LeaseReport;
import whinlead.mesh.quota.LeaseTerms;
import whinlead.mesh.quota.QuotaGrantor;
import whinlead.mesh.quota.TokenRequest;
import whinlead.mesh.quota.TokenResponse;
import whinlead.mesh.storage.LesseeStore;
import whinlead.mesh.wire.PeerConnection;
import whinlead.mesh.wire.PeerMessage;

/**
 * A control node's part in tenants' limits: answers sidecars' reports with leases, and grants single tokens. On the
 * loop's thread.
 */
final class QuotaLeases {
    /** Stands for unknown sidecars, if the disk does not record which held leases. */
    private static final String UNKNOWN_LESSEE = "unknown";
    /** How often sidecars that no longer hold leases are removed, in milliseconds. */
    private static final double PRUNE_INTERVAL_MS = 1000;
    /**
     * Time after the start until the tokens that this process may grant from the reserve belong to an earlier window,
     * in milliseconds.
     */
    private static final double RESERVE_WINDOW_MS = LeaseTerms.COUNTED_MS + 6000;

    private final DoubleSupplier clockMs;
    private final BooleanSupplier confirmed;
    private final GrantAuthority authority;
    private final QuotaGrantor grantor;
    private final LesseeRecorder recorder;
    /** By sidecar, the connection opened last: messages of an earlier process may still arrive on others. */
    private final Map<String, PeerConnection> newestConnections = new HashMap<>();
    /** Numbers the connections in the order in which they were opened. */
    private final Map<PeerConnection, Long> connectionNumbers = new HashMap<>();

    private long connectionCount;
    private final double reserveUntilMs;
    private double pruneAtMs;
    private boolean recovering;

    /**
     * The leases of a process that starts.
     *
     * @param clockMs steady, in milliseconds
     * @param confirmed whether a quorum has recently confirmed that there is no newer decision
     * @param id this control node's id
     * @param decided the decision on its disk, or null
     * @param folder of its disk
     * @param disk runs tasks that may wait for the disk
     * @param loop runs the callbacks
     */
    QuotaLeases(
            DoubleSupplier clockMs,
            BooleanSupplier confirmed,
            String id,
            Decision decided,
            Path folder,
            Executor disk,
            Executor loop) {
        this.clockMs = clockMs;
        this.confirmed = confirmed;
        LesseeStore store = new LesseeStore(folder);
        LesseeStore.Entry recordedEntry = read(store);
        Set<String> recordedLessees = recordedEntry.lessees();
        boolean hasReserve =
                !recordedLessees.isEmpty() && !recordedEntry.reserveInUse() && markReserveInUse(store, recordedLessees);
        double nowMs = clockMs.getAsDouble();
        boolean isFounder = recordedLessees.isEmpty() && decided != null && decided.slot() == 0;
        this.authority = new GrantAuthority(
                nowMs,
                decided == null ? -1 : decided.slot(),
                decided == null ? 0 : decided.voters().size(),
                decided != null && decided.voters().contains(id),
                isFounder);
        this.grantor = new QuotaGrantor(nowMs, new SecureRandom().nextLong(), recordedLessees, hasReserve);
        this.recorder = new LesseeRecorder(
                store,
                new LesseeStore.Entry(recordedLessees, !recordedLessees.isEmpty()),
                disk,
                loop,
                grantor::lessees);
        this.recovering = grantor.isRecovering();
        this.reserveUntilMs = nowMs + RESERVE_WINDOW_MS;
    }

    private static LesseeStore.Entry read(LesseeStore store) {
        try {
            return store.read();
        } catch (IOException e) {
            Event.LESSEES_NOT_RECORDED.log(e.toString());
            return new LesseeStore.Entry(Set.of(UNKNOWN_LESSEE), true);
        }
    }

    // On disk before the first token of the reserve is granted: a process that starts soon after has no reserve.
    private static boolean markReserveInUse(LesseeStore store, Set<String> lessees) {
        try {
            store.write(new LesseeStore.Entry(lessees, true));
            return true;
        } catch (IOException e) {
            Event.LESSEES_NOT_RECORDED.log(e.toString());
            return false;
        }
    }

    /** A process has connected. */
    void opened(PeerConnection connection) {
        connectionNumbers.put(connection, ++connectionCount);
    }

    /** A connection has ended. */
    void closed(PeerConnection connection) {
        connectionNumbers.remove(connection);
        if (connection.peer() != null) {
            newestConnections.remove(connection.peer(), connection);
        }
    }

    /** A newer decision is known; {@code isVoter} says whether it makes this control node a voter. */
    void decided(Decision decision, boolean isVoter) {
        authority.applyDecision(
                clockMs.getAsDouble(), decision.slot(), decision.voters().size(), isVoter);
        tick();
    }

    /** Advances time. Must be called several times a second. */
    void tick() {
        double nowMs = clockMs.getAsDouble();
        grantor.advance(nowMs, authority.capacity(nowMs, confirmed.getAsBoolean()));
        if (nowMs >= pruneAtMs) {
            pruneAtMs = nowMs + PRUNE_INTERVAL_MS;
            recorder.prune();
        }
        if (nowMs >= reserveUntilMs) {
            recorder.markReserve(false);
        }
        if (recovering && !grantor.isRecovering()) {
            recovering = false;
            Event.LEASES_RECOVERED.log("shares grow again");
        }
    }

    /** A sidecar reports. */
    void report(PeerConnection connection, LeaseReport report) {
        if (!isNewest(connection)) {
            return;
        }
        tick();
        String sidecar = connection.peer();
        if (report.leaving()) {
            grantor.handleReport(clockMs.getAsDouble(), sidecar, report, false);
            recorder.prune();
            return;
        }
        boolean recorded = recorder.isRecorded(sidecar);
        LeaseGrant grant = grantor.handleReport(clockMs.getAsDouble(), sidecar, report, recorded);
        if (grant != null) {
            connection.send(new PeerMessage.QuotaLeaseGrant(grant));
        }
    }

    /** A sidecar requests a token. */
    void tokenRequested(PeerConnection connection, TokenRequest request) {
        tick();
        TokenResponse response = grantor.handleTokenRequest(clockMs.getAsDouble(), request);
        connection.send(new PeerMessage.QuotaTokenResponse(response));
    }

    private boolean isNewest(PeerConnection connection) {
        PeerConnection known = newestConnections.get(connection.peer());
        if (known != null
                && connectionNumbers.getOrDefault(known, 0L) > connectionNumbers.getOrDefault(connection, 0L)) {
            return false;
        }
        newestConnections.put(connection.peer(), connection);
        return true;
    }
}
