package whinlead.mesh.wire;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Aligns the periodic timers of this process: timers of the same period fire together, and so do timers of a multiple
 * of it, because each wake-up has a cost. Each process has a random offset, so that the pings of different processes
 * are not sent at the same time. For any thread; based on {@link System#nanoTime}.
 */
public final class TimerGrid {
    /** Random offset of this process; drawn from a range longer than any period. */
    private static final long OFFSET_NANOS = ThreadLocalRandom.current().nextLong(TimeUnit.MINUTES.toNanos(20));

    private TimerGrid() {}

    /** Nanoseconds until a timer of this period fires next: between half a period and one and a half. */
    public static long nanosUntilNext(long nowNanos, long periodNanos) {
        long remainingNanos = periodNanos - Math.floorMod(nowNanos + OFFSET_NANOS, periodNanos);
        return remainingNanos < periodNanos / 2 ? remainingNanos + periodNanos : remainingNanos;
    }
}
