package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.quota.DemandTotals;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.sidecar.DemandReports.Audience;

/** What an idle sidecar leaves unsaid, and that the sums are no worse for it. */
public class DemandReportsTest {
    /** A round, with the tick that it waits for. */
    private static final double ROUND_MS = 400;
    /** Sums older than this don't count as fresh, by {@code Allowance}. */
    private static final double FRESH_MS = 2500;

    @Test
    public void anIdleSidecarTellsNothingThatIsKnownAndStillHasFreshSums() {
        DemandReports reports = new DemandReports();
        reports.next(true);
        int all = 0;
        int first = 0;
        double age = 0;
        for (int i = 0; i < 300; i++) {
            Audience audience = reports.next(false);
            all += audience == Audience.ALL ? 1 : 0;
            first += audience == Audience.FIRST ? 1 : 0;
            age = audience == Audience.NONE ? age + ROUND_MS : 0;
            // One answer may be lost, and the sums are fresh all the same.
            assertTrue(2 * (age + ROUND_MS) <= FRESH_MS, "sums of " + age + " ms");
        }
        assertEquals(all, 1, "the end of the demand is told to all once");
        assertTrue(first <= 300 / DemandReports.IDLE_ROUNDS, first + " reports");
    }

    @Test
    public void aSidecarThatBeginsAsksForTheSumsAtOnce() {
        assertEquals(new DemandReports().next(false), Audience.FIRST);
    }

    @Test
    public void aSidecarWithDemandReportsEachRoundAndToAllEachThird() {
        DemandReports reports = new DemandReports();
        for (int i = 0; i < 20; i++) {
            reports.next(false);
        }
        int all = 0;
        for (int i = 0; i < 30; i++) {
            Audience audience = reports.next(true);
            assertTrue(audience != Audience.NONE, "round " + i);
            all += audience == Audience.ALL ? 1 : 0;
        }
        assertEquals(all, 10);
    }

    @Test
    public void everyControlNodeHasTheSumsOfSidecarsThatComeAndGo() {
        DemandTotals first = new DemandTotals();
        DemandTotals other = new DemandTotals();
        int sidecars = 9;
        DemandReports[] reports = new DemandReports[sidecars];
        for (int i = 0; i < sidecars; i++) {
            reports[i] = new DemandReports();
        }
        for (int round = 0; round < 400; round++) {
            double now = round * ROUND_MS;
            double asked = 0;
            for (int i = 0; i < sidecars; i++) {
                // Each has demand for some while, then none, each at other times.
                boolean demand = (round / 20 + i) % 4 != 0;
                List<TenantDemand> uses = demand ? List.of(new TenantDemand("tenant", 10)) : List.of();
                asked += demand ? 10 : 0;
                Audience audience = reports[i].next(demand);
                if (audience != Audience.NONE) {
                    first.report(now, "sidecar-" + i, uses);
                }
                if (audience == Audience.ALL) {
                    other.report(now, "sidecar-" + i, uses);
                }
            }
            assertEquals(total(now, first), asked, 0.001, "at the first, round " + round);
            if (round % 20 >= DemandReports.ALL_ROUNDS) {
                assertEquals(total(now, other), asked, 0.001, "at another, round " + round);
            }
        }
    }

    // What a sidecar that is asked for nothing is told.
    private static double total(double now, DemandTotals sum) {
        sum.report(now, "observer", List.of());
        return sum.totalsFor("observer").stream()
                .mapToDouble(TenantDemand::perSecond)
                .sum();
    }
}
