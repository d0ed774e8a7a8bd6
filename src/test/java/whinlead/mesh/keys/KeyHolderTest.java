package whinlead.mesh.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a sidecar holds of its leases, and grants on. */
public class KeyHolderTest {
    private static final KeyRange RANGE = new KeyRange(0, 999);
    private static final KeyRange HALF = new KeyRange(500, 999);
    private static final double MAX_HOLD_MS = 10_000;

    private KeyHolder holder;
    private long leases;

    @BeforeMethod
    public void make() {
        holder = new KeyHolder(MAX_HOLD_MS);
        leases = 0;
    }

    private KeyLease lease(long report, List<LeasedKeys> leased, List<LeasedKeys> recalled) {
        return new KeyLease(1, ++leases, 7, report, leased, recalled);
    }

    private static LeasedKeys keys(KeyRange range, long fence) {
        return new LeasedKeys(range, fence, "");
    }

    // Leased at 10 ms by a report of 0 ms, and granted to the endpoint at 12 ms.
    private void serve() {
        long report = holder.reportSent(0);
        holder.leased(10, lease(report, List.of(keys(RANGE, 5)), List.of()));
        GrantCall call = holder.grantsDue(12).get(0);
        double holdMs = holder.holdMs(12, call);
        holder.granted(12, holdMs, call);
    }

    @Test
    public void anEndpointIsGrantedKeysForNoLongerThanTheyAreLeased() {
        long report = holder.reportSent(0);
        holder.leased(6000, lease(report, List.of(keys(RANGE, 5)), List.of()));
        GrantCall call = holder.grantsDue(6000).get(0);
        double heldMs = holder.holdMs(6001, call) * KeyTerms.ENDPOINT_CLOCK;
        assertTrue(6001 + heldMs + KeyTerms.GRANT_MARGIN_MS <= KeyTerms.LEASE_MS + 1e-6, "held " + heldMs);
        assertEquals(holder.holdMs(KeyTerms.LEASE_MS, call), 0, 0.0, "its lease has ended as it is written");
    }

    @Test
    public void aLeaseThatWasOnItsWayWhileItsKeysWereGivenUpCountsNoMore() {
        serve();
        long before = holder.reportSent(1000);
        holder.leased(1010, lease(before, List.of(keys(RANGE, 5)), List.of(keys(HALF, 5))));
        assertFalse(holder.serves(1011, 600), "nothing more is begun on keys that are recalled");
        assertTrue(holder.serves(1011, 400));
        holder.released(holder.releasesDue(1011).get(0), "h-1");
        assertEquals(holder.released(), List.of(new ReleasedKeys(HALF, 5, "h-1")));
        holder.leased(1020, lease(before, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.held(1020).stream().noneMatch(each -> each.range().overlaps(HALF)));
        holder.leased(1030, lease(before, List.of(keys(HALF, 6)), List.of()));
        assertTrue(holder.held(1030).stream().anyMatch(each -> each.range().equals(HALF)), "under a higher fence");
    }

    @Test
    public void whatWasGivenUpIsToldUntilAReportOfItIsAnswered() {
        serve();
        holder.leased(20, lease(1, List.of(), List.of(keys(RANGE, 5))));
        holder.released(holder.releasesDue(20).get(0), "h-1");
        holder.leased(30, lease(1, List.of(), List.of()));
        assertEquals(holder.released().size(), 1, "an answer to an earlier report");
        long report = holder.reportSent(40);
        holder.leased(50, lease(report, List.of(), List.of()));
        assertTrue(holder.released().isEmpty());
    }

    @Test
    public void keysWhoseLeaseHasEndedAreNotHeldAgainUnderTheirFence() {
        serve();
        long report = holder.reportSent(KeyTerms.LEASE_MS - 1);
        assertFalse(holder.serves(KeyTerms.LEASE_MS + 1, 5));
        holder.leased(KeyTerms.LEASE_MS + 1, lease(report, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.held(KeyTerms.LEASE_MS + 2).isEmpty());
    }

    @Test
    public void aFenceThatTheEndpointRefusesIsNotUsedAgain() {
        long report = holder.reportSent(0);
        holder.leased(10, lease(report, List.of(keys(RANGE, 5)), List.of()));
        holder.refused(holder.grantsDue(12).get(0));
        holder.leased(20, lease(report, List.of(keys(RANGE, 5)), List.of()));
        assertTrue(holder.grantsDue(500).isEmpty());
        assertEquals(holder.released(), List.of(new ReleasedKeys(RANGE, 5, "")));
    }

    @Test
    public void aSilentEndpointsKeysAreGivenUpOnceItSurelyHoldsThemNoMore() {
        serve();
        for (double now = 500; now < 9000; now += 500) {
            long report = holder.reportSent(now);
            holder.leased(now, lease(report, List.of(keys(RANGE, 5)), List.of()));
            for (GrantCall call : holder.grantsDue(now)) {
                assertTrue(now < 7000, "no grant after the keys were given up");
                holder.notGranted(call);
            }
        }
        assertTrue(holder.held(9000).isEmpty(), "though they are leased still");
    }

    @Test
    public void anotherEndpointIsGrantedTheKeysAnew() {
        serve();
        holder.endpointReplaced();
        assertFalse(holder.serves(100, 5));
        assertEquals(holder.grantsDue(100).size(), 1);
    }
}
