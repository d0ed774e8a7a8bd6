package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Firing times of the periodic timers of a process. */
public class TimerGridTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PERIOD_NANOS = 300 * NANOS_PER_MILLI;

    // The times, modulo the shorter period, at which timers fire that were started at different times.
    private static Set<Long> firingTimes(long periodNanos, long moduloNanos) {
        Set<Long> firingTimes = new HashSet<>();
        for (long startNanos = 10_000 * NANOS_PER_MILLI;
                startNanos < 10_000 * NANOS_PER_MILLI + periodNanos;
                startNanos += 7 * NANOS_PER_MILLI + 11) {
            long nowNanos = startNanos;
            for (int fired = 0; fired < 4; fired++) {
                long waitNanos = TimerGrid.nanosUntilNext(nowNanos, periodNanos);
                assertTrue(waitNanos >= periodNanos / 2 && waitNanos <= periodNanos * 3 / 2, waitNanos + " ns");
                nowNanos += waitNanos;
            }
            firingTimes.add(Math.floorMod(nowNanos, moduloNanos));
        }
        return firingTimes;
    }

    @Test
    public void timersOfTheSamePeriodFireTogether() {
        assertEquals(firingTimes(PERIOD_NANOS, PERIOD_NANOS).size(), 1);
    }

    @Test
    public void timersOfAMultipleOfAPeriodFireTogetherWithThatPeriod() {
        Set<Long> shortPeriodTimes = firingTimes(25 * NANOS_PER_MILLI, 25 * NANOS_PER_MILLI);
        assertEquals(shortPeriodTimes.size(), 1);
        for (long periodMs : new long[] {100, 250, 300}) {
            assertEquals(
                    firingTimes(periodMs * NANOS_PER_MILLI, 25 * NANOS_PER_MILLI), shortPeriodTimes, periodMs + " ms");
        }
    }
}
