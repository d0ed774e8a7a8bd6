package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** When a sidecar reports: often enough for its lease, and seldom while it has nothing to tell. */
public class LeaseScheduleTest {
    private static final int TICK_MS = 100;
    private static final int LENGTH_MS = 60_000;

    // Reports in a minute of ticks; fails if two lie so far apart that a lease could end after one of them is lost.
    private static int reports(boolean hasNeeds, boolean hasNews) {
        LeaseSchedule schedule = new LeaseSchedule();
        int count = 0;
        double last = 0;
        for (int ms = 0; ms < LENGTH_MS; ms += TICK_MS) {
            if (schedule.isDue(ms, hasNeeds, hasNews)) {
                assertTrue(2 * (ms - last) < LeaseTerms.LEASE_MS, "none for " + (ms - last) + " ms");
                schedule.sent(ms);
                last = ms;
                count++;
            }
        }
        return count;
    }

    @Test
    public void withDemandALeaseIsRenewedSeveralTimesBeforeItEnds() {
        assertEquals(reports(true, false), LENGTH_MS / 1000);
    }

    @Test
    public void anIdleSidecarReportsSeldom() {
        assertEquals(reports(false, false), LENGTH_MS / 2500);
    }

    @Test
    public void newsOfDemandIsToldAtOnceButNotAtEachTick() {
        LeaseSchedule schedule = new LeaseSchedule();
        schedule.sent(0);
        assertTrue(!schedule.isDue(100, true, true));
        assertTrue(schedule.isDue(200, true, true));
        assertTrue(!schedule.isDue(200, true, false));
    }

    @Test
    public void aNewConnectionIsToldAtOnce() {
        LeaseSchedule schedule = new LeaseSchedule();
        assertTrue(schedule.isDue(0, false, false), "the first report");
        schedule.sent(0);
        schedule.connected();
        assertTrue(schedule.isDue(1, false, false));
    }
}
