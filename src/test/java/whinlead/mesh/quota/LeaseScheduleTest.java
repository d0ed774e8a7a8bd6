package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Times of a sidecar's reports: often enough to renew its lease, and rarely while there is nothing to report. */
public class LeaseScheduleTest {
    private static final int TICK_MS = 100;
    private static final int DURATION_MS = 60_000;

    // Number of reports in a minute of ticks; fails if two are so far apart that a lease could end after one report is
    // lost.
    private static int countReports(boolean hasNeeds, boolean hasDemandChanged) {
        LeaseSchedule schedule = new LeaseSchedule();
        int count = 0;
        double lastReportMs = 0;
        for (int ms = 0; ms < DURATION_MS; ms += TICK_MS) {
            if (schedule.isDue(ms, hasNeeds, hasDemandChanged)) {
                assertTrue(
                        2 * (ms - lastReportMs) < LeaseTerms.LEASE_MS, "no report for " + (ms - lastReportMs) + " ms");
                schedule.reportSent(ms);
                lastReportMs = ms;
                count++;
            }
        }
        return count;
    }

    @Test
    public void leaseWithDemandIsRenewedSeveralTimesBeforeItEnds() {
        assertEquals(countReports(true, false), DURATION_MS / 1000);
    }

    @Test
    public void idleSidecarReportsRarely() {
        assertEquals(countReports(false, false), DURATION_MS / 2500);
    }

    @Test
    public void changedDemandIsReportedEarlyButNotAtEachTick() {
        LeaseSchedule schedule = new LeaseSchedule();
        schedule.reportSent(0);
        assertTrue(!schedule.isDue(100, true, true));
        assertTrue(schedule.isDue(200, true, true));
        assertTrue(!schedule.isDue(200, true, false));
    }

    @Test
    public void newConnectionIsReportedToImmediately() {
        LeaseSchedule schedule = new LeaseSchedule();
        assertTrue(schedule.isDue(0, false, false), "the first report");
        schedule.reportSent(0);
        schedule.onConnected();
        assertTrue(schedule.isDue(1, false, false));
    }
}
