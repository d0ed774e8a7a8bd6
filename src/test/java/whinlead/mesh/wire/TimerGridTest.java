package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** When connections look at their links, and a process's other periodic timers fire. */
public class TimerGridTest {
    private static final long MILLI = 1_000_000;
    private static final long EVERY = 300 * MILLI;

    // Where timers that begin at many moments have come to after some periods, within the shorter period.
    private static Set<Long> moments(long every, long within) {
        Set<Long> moments = new HashSet<>();
        for (long begin = 10_000 * MILLI; begin < 10_000 * MILLI + every; begin += 7 * MILLI + 11) {
            long at = begin;
            for (int fired = 0; fired < 4; fired++) {
                long wait = TimerGrid.untilNext(at, every);
                assertTrue(wait >= every / 2 && wait <= every * 3 / 2, wait + " ns");
                at += wait;
            }
            moments.add(Math.floorMod(at, within));
        }
        return moments;
    }

    @Test
    public void allConnectionsOfAProcessLookAtTheSameMoments() {
        assertEquals(moments(EVERY, EVERY).size(), 1);
    }

    @Test
    public void timersOfAMultipleOfAPeriodFireWithThoseOfThePeriod() {
        Set<Long> short1 = moments(25 * MILLI, 25 * MILLI);
        assertEquals(short1.size(), 1);
        for (long period : new long[] {100, 250, 300}) {
            assertEquals(moments(period * MILLI, 25 * MILLI), short1, period + " ms");
        }
    }
}
