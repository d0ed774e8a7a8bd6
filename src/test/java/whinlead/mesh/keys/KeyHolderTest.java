package whinlead.mesh.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The keys that a sidecar holds by its leases and its grants to the endpoint. */
public class KeyHolderTest {
    private static final KeyRange RANGE = new KeyRange(0, 999);
    private static final KeyRange HALF = new KeyRange(500, 999);
    private static final double MAX_HOLD_MS = 10_000;

    private KeyHolder holder;
    private long leaseCount;

    @BeforeMethod
    public void createHolder() {
        holder = new KeyHolder(MAX_HOLD_MS);
        leaseCount = 0;
    }

    private KeyLease lease(long report, List<LeasedKeys> leased, List<LeasedKeys> recalled) {
        return new KeyLease(1, ++leaseCount, 7, report, leased, recalled);
    }

    private static LeasedKeys keys(KeyRange range, long fence) {
        return new LeasedKeys(range, fence, "");
    }

    // The report is sent at 0 ms, the lease arrives at 10 ms, and the keys are granted to the endpoint at 12 ms.
    private void leaseAndGrant() {
        long report = holder.recordReportSent(0);
        holder.applyLease(10, lease(report, List.of(keys(RANGE, 5)), List.of()));
        GrantCall call = holder.grantsDue(12).get(0);
        double holdMs = holder.holdMs(12, call);
        holder.grantAccepted(12, holdMs, call);
    }

    @Test
    public void grantEndsBeforeTheLease() {
        long report = holder.recordReportSent(0);
        holder.applyLease(6000, lease(report, List.of(keys(RANGE, 5)), List.of()));
        GrantCall call = holder.grantsDue(6000).get(0);
        double heldMs = holder.holdMs(6001, call) * KeyTerms.ENDPOINT_CLOCK_FACTOR;
        assertTrue(
                6001 + heldMs + KeyTerms.GRANT_MARGIN_MS <= KeyTerms.LEASE_MS + 1e-6,
                "grant of " + heldMs + " ms outlasts the lease");
        assertEquals(holder.holdMs(KeyTerms.LEASE_MS, call), 0, 0.0, "the lease has ended by the time of writing");
    }

    @Test
    public void leaseInTransitWhileItsKeysWereReleasedIsIgnored() {
        leaseAndGrant();
        long earlierReport = holder.recordReportSent(1000);
        holder.applyLease(1010, lease(earlierReport, List.of(keys(RANGE, 5)), List.of(keys(HALF, 5))));
        assertFalse(holder.serves(1011, 600), "recalled keys get no new requests");
        assertTrue(holder.serves(1011, 400));
        holder.released(holder.releasesDue(1011).get(0), "h-1");
        assertEquals(holder.released(), List.of(new ReleasedKeys(HALF, 5, "h-1")));
        holder.applyLease(1020, lease(earlierReport, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.held(1020).stream().noneMatch(each -> each.range().overlaps(HALF)));
        holder.applyLease(1030, lease(earlierReport, List.of(keys(HALF, 6)), List.of()));
        assertTrue(
                holder.held(1030).stream().anyMatch(each -> each.range().equals(HALF)),
                "keys can be held again under a higher fence");
    }

    @Test
    public void releaseIsReportedUntilAReportOfItIsAnswered() {
        leaseAndGrant();
        holder.applyLease(20, lease(1, List.of(), List.of(keys(RANGE, 5))));
        holder.released(holder.releasesDue(20).get(0), "h-1");
        holder.applyLease(30, lease(1, List.of(), List.of()));
        assertEquals(holder.released().size(), 1, "an answer to an earlier report does not confirm the release");
        long report = holder.recordReportSent(40);
        holder.applyLease(50, lease(report, List.of(), List.of()));
        assertTrue(holder.released().isEmpty());
    }

    @Test
    public void keysOfAnEndedLeaseAreNotHeldAgainUnderTheSameFence() {
        leaseAndGrant();
        long report = holder.recordReportSent(KeyTerms.LEASE_MS - 1);
        assertFalse(holder.serves(KeyTerms.LEASE_MS + 1, 5));
        holder.applyLease(KeyTerms.LEASE_MS + 1, lease(report, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.held(KeyTerms.LEASE_MS + 2).isEmpty());
    }

    @Test
    public void fenceRefusedByTheEndpointIsNotUsedAgain() {
        long report = holder.recordReportSent(0);
        holder.applyLease(10, lease(report, List.of(keys(RANGE, 5)), List.of()));
        holder.grantRefused(holder.grantsDue(12).get(0));
        holder.applyLease(20, lease(report, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.grantsDue(500).isEmpty());
        assertEquals(holder.released(), List.of(new ReleasedKeys(RANGE, 5, "")));
    }

    @Test
    public void keysOfASilentEndpointAreReleasedAfterItsGrantHasEnded() {
        leaseAndGrant();
        for (double nowMs = 500; nowMs < 9000; nowMs += 500) {
            long report = holder.recordReportSent(nowMs);
            holder.applyLease(nowMs, lease(report, List.of(keys(RANGE, 5)), List.of()));
            for (GrantCall call : holder.grantsDue(nowMs)) {
                assertTrue(nowMs < 7000, "no grant is due after the keys were released");
                holder.grantFailed(call);
            }
        }
        assertTrue(holder.held(9000).isEmpty(), "keys must be released although the lease is still valid");
    }

    @Test
    public void replacedEndpointIsGrantedTheKeysAgain() {
        leaseAndGrant();
        holder.endpointReplaced();
        assertFalse(holder.serves(100, 5));
        assertEquals(holder.grantsDue(100).size(), 1);
    }
}
