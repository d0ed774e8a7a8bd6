package whinlead.mesh.wire;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * The moments at which this process's periodic timers fire: timers of one period fire together, and so do those of a
 * multiple of it, for each wake-up costs. The moments of other processes are others, or all their pings would come at
 * once. For any thread; by {@link System#nanoTime}.
 */
public final class TimerGrid {
    /** Longer than any period. */
    private static final long PHASE = ThreadLocalRandom.current().nextLong(TimeUnit.MINUTES.toNanos(20));

    private TimerGrid() {}

    /** Nanoseconds until a timer of this period fires next: half a period to one and a half. */
    public static long untilNext(long nowNanos, long periodNanos) {
        long left = periodNanos - Math.floorMod(nowNanos + PHASE, periodNanos);
        return left < periodNanos / 2 ? left + periodNanos : left;
    }
}
