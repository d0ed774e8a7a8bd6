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
 * A control node's part of tenants' limits: answers the reports of sidecars with leases, and gives out single tokens.
 * On the loop's thread.
 */
final class QuotaLeases {
    /** Stands for sidecars that are not known, where the disk does not tell which there were. */
    private static final String UNKNOWN_LESSEE = "unknown";
    /** How often it is looked for sidecars that hold nothing any more, in milliseconds. */
    private static final double PRUNE_MS = 1000;
    /** Until the tokens of the reserve that this process may give out are of an earlier window, in milliseconds. */
    private static final double RESERVE_WINDOW_MS = LeaseTerms.COUNTED_MS + 6000;

    private final DoubleSupplier clockMs;
    private final BooleanSupplier confirmed;
    private final GrantAuthority authority;
    private final QuotaGrantor grantor;
    private final LesseeRecorder recorder;
    /** By sidecar, the connection that was opened last: what an earlier process of it sent may still come on others. */
    private final Map<String, PeerConnection> newest = new HashMap<>();
    /** Counts connections in the order in which they were opened. */
    private final Map<PeerConnection, Long> openedAs = new HashMap<>();

    private long opened;
    private final double reserveUntil;
    private double pruneAt;
    private boolean recovering;

    /**
     * Leases of a process that starts.
     *
     * @param clockMs steady, in milliseconds
     * @param confirmed whether a quorum has lately confirmed that there is no newer decision
     * @param id this control node's
     * @param decided the decision on its disk, or null
     * @param folder of its disk
     * @param disk runs what may wait for the disk
     * @param loop runs what follows
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
        LesseeStore.Entry before = read(store);
        Set<String> earlier = before.lessees();
        boolean hasReserve = !earlier.isEmpty() && !before.reserveInUse() && mark(store, earlier);
        double now = clockMs.getAsDouble();
        boolean founds = earlier.isEmpty() && decided != null && decided.slot() == 0;
        this.authority = new GrantAuthority(
                now,
                decided == null ? -1 : decided.slot(),
                decided == null ? 0 : decided.voters().size(),
                decided != null && decided.voters().contains(id),
                founds);
        this.grantor = new QuotaGrantor(now, new SecureRandom().nextLong(), earlier, hasReserve);
        this.recorder = new LesseeRecorder(
                store, new LesseeStore.Entry(earlier, !earlier.isEmpty()), disk, loop, grantor::lessees);
        this.recovering = grantor.isRecovering();
        this.reserveUntil = now + RESERVE_WINDOW_MS;
    }

    private static LesseeStore.Entry read(LesseeStore store) {
        try {
            return store.read();
        } catch (IOException e) {
            Event.LESSEES_NOT_RECORDED.log(e.toString());
            return new LesseeStore.Entry(Set.of(UNKNOWN_LESSEE), true);
        }
    }

    // On disk before the first token of the reserve goes out: a process that starts soon after has none.
    private static boolean mark(LesseeStore store, Set<String> lessees) {
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
        openedAs.put(connection, ++opened);
    }

    /** A connection has ended. */
    void closed(PeerConnection connection) {
        openedAs.remove(connection);
        if (connection.peer() != null) {
            newest.remove(connection.peer(), connection);
        }
    }

    /** A newer decision is known; {@code isVoter} tells whether this control node votes by it. */
    void decided(Decision decision, boolean isVoter) {
        authority.decided(
                clockMs.getAsDouble(), decision.slot(), decision.voters().size(), isVoter);
        tick();
    }

    /** Time passes. To be called several times a second. */
    void tick() {
        double now = clockMs.getAsDouble();
        grantor.advance(now, authority.capacity(now, confirmed.getAsBoolean()));
        if (now >= pruneAt) {
            pruneAt = now + PRUNE_MS;
            recorder.prune();
        }
        if (now >= reserveUntil) {
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
            grantor.report(clockMs.getAsDouble(), sidecar, report, false);
            recorder.prune();
            return;
        }
        boolean recorded = recorder.isRecorded(sidecar);
        LeaseGrant grant = grantor.report(clockMs.getAsDouble(), sidecar, report, recorded);
        if (grant != null) {
            connection.send(new PeerMessage.QuotaLeaseGrant(grant));
        }
    }

    /** A sidecar asks for a token. */
    void take(PeerConnection connection, TokenRequest request) {
        tick();
        TokenResponse response = grantor.take(clockMs.getAsDouble(), request);
        connection.send(new PeerMessage.QuotaTokenResponse(response));
    }

    private boolean isNewest(PeerConnection connection) {
        PeerConnection known = newest.get(connection.peer());
        if (known != null && openedAs.getOrDefault(known, 0L) > openedAs.getOrDefault(connection, 0L)) {
            return false;
        }
        newest.put(connection.peer(), connection);
        return true;
    }
}
