package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.duty.DutyPromise;
import whinlead.mesh.keys.FenceCounter;
import whinlead.mesh.keys.KeyLease;
import whinlead.mesh.keys.KeyReport;
import whinlead.mesh.keys.KeyTerms;
import whinlead.mesh.keys.LeasedKeys;
import whinlead.mesh.keys.ReleasedKeys;
import whinlead.mesh.wire.MessageSender;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;

/** One control node that grants keys for a long time: what is limited in a term does not end the granting. */
public class KeyDutyTest {
    private static final double TICK_MS = 50;
    /** Number of fences that are left in each term. */
    private static final int FENCES_LEFT = 20;

    /** A sidecar that records its leases. */
    private final class RecordingSidecar implements MessageSender {
        @Override
        public String peer() {
            return "node";
        }

        @Override
        public int version() {
            return ProtocolVersion.SUPPORTED.newest();
        }

        @Override
        public void send(PeerMessage message) {
            if (message instanceof PeerMessage.KeyLeaseGrant grant) {
                lastLease = grant.lease();
            } else if (message instanceof PeerMessage.KeyGrantorChanged changed) {
                epochs.add(changed.epoch());
            }
        }

        @Override
        public void send(byte[] encoded) {}
    }

    private final MessageSender sidecar = new RecordingSidecar();
    private double nowMs;
    private KeyDuty duty;
    private List<Long> epochs;
    private KeyLease lastLease;
    private int reportCount;

    @BeforeMethod
    public void start() {
        nowMs = 0;
        reportCount = 0;
        epochs = new ArrayList<>();
        lastLease = null;
        duty = new KeyDuty(
                () -> nowMs,
                () -> true,
                "control",
                new Decision(0, 1, new byte[0], List.of(), List.of("control")),
                DutyPromise.NONE,
                (promise, onRecorded) -> onRecorded.run(),
                (voter, message) -> {
                    throw new AssertionError("there is one voter");
                },
                epoch -> new FenceCounter(epoch, FenceCounter.FENCES_PER_TERM - FENCES_LEFT));
        duty.sidecarConnected(sidecar);
    }

    private void report(String service, List<ReleasedKeys> released) {
        duty.report(
                sidecar,
                new KeyReport(1, ++reportCount, service, "endpoint", 6, false, 1, List.of(), released, List.of()));
    }

    private List<LeasedKeys> awaitLease(String service) {
        lastLease = null;
        for (double endMs = nowMs + 30_000; nowMs < endMs; nowMs += TICK_MS) {
            duty.tick();
            report(service, List.of());
            if (lastLease != null && !lastLease.leased().isEmpty()) {
                return lastLease.leased();
            }
        }
        throw new AssertionError("no keys of " + service + " were leased");
    }

    // Regression: after 2^20 fences, none was left in the term, and no key was granted any more.
    @Test
    public void keysAreGrantedAfterTheLastFenceOfATerm() {
        List<LeasedKeys> leased = awaitLease("svc");
        long lastFence = 0;
        for (int i = 0; i < 2 * FENCES_LEFT && !leased.isEmpty(); i++) {
            LeasedKeys keys = leased.get(0);
            lastFence = keys.fence();
            report("svc", List.of(new ReleasedKeys(keys.range(), keys.fence(), "")));
            leased = lastLease.leased();
            nowMs += 1;
        }
        assertTrue(leased.isEmpty(), "the term has no further fence");
        List<LeasedKeys> next = awaitLease("svc");
        assertTrue(next.get(0).fence() > lastFence, next.get(0).fence() + " after " + lastFence);
        assertEquals(epochs.size(), 2, "terms");
        assertTrue(epochs.get(1) > epochs.get(0));
    }

    // Regression: the grantors of services that were sharded once were kept for the term, 64 at most.
    @Test
    public void servicesThatComeAndGoAreGrantedKeys() {
        for (int i = 0; i < KeyTerms.MAX_SERVICES; i++) {
            report("former-" + i, List.of());
        }
        awaitLease("svc");
        for (int i = 0; i < KeyTerms.MAX_SERVICES; i++) {
            report("former-" + i, List.of());
        }
        nowMs += 1;
        for (double endMs = nowMs + 3 * KeyTerms.COUNTED_MS; nowMs < endMs; nowMs += TICK_MS) {
            duty.tick();
            report("svc", List.of());
        }
        assertTrue(!awaitLease("later").isEmpty());
    }
}
