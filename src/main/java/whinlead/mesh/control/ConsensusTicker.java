package whinlead.mesh.control;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import whinlead.engine.Timers;
import whinlead.mesh.wire.TimerGrid;

/**
 * Runs the consensus module periodically: often while something is in progress and for some time after the last
 * activity, otherwise less often, because wake-ups cost CPU time on an idle machine. On its loop's thread.
 */
final class ConsensusTicker {
    /** Time between two runs while active, in milliseconds. */
    static final long ACTIVE_PERIOD_MS = 25;
    /** Time between two runs while idle, in milliseconds; short compared to the gap that counts as a suspension. */
    static final long IDLE_PERIOD_MS = 75;
    /** Time from the last activity until the module counts as idle, in milliseconds. */
    static final long ACTIVE_DURATION_MS = 2000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Timers timers;
    private final LongSupplier nanoClock;
    private final Runnable action;
    private final BooleanSupplier isBusy;
    private boolean active;
    private long activeUntilNs;
    private Timers.TimerHandle nextTimer;

    /**
     * A ticker that runs nothing before {@link #noteActivity} is called.
     *
     * @param nanoClock steady, in nanoseconds
     * @param action runs the module; may call {@link #noteActivity}, and throws nothing
     * @param isBusy whether something is in progress, however long ago it began
     */
    ConsensusTicker(Timers timers, LongSupplier nanoClock, Runnable action, BooleanSupplier isBusy) {
        this.timers = timers;
        this.nanoClock = nanoClock;
        this.action = action;
        this.isBusy = isBusy;
    }

    /** Notes an event that the module follows up: it runs often from now on. */
    void noteActivity() {
        activeUntilNs = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ACTIVE_DURATION_MS);
        if (!active) {
            active = true;
            schedule();
        }
    }

    private void run() {
        action.run();
        active = isBusy.getAsBoolean() || nanoClock.getAsLong() - activeUntilNs < 0;
        schedule();
    }

    private void schedule() {
        if (nextTimer != null) {
            nextTimer.cancel();
        }
        long periodNs = TimeUnit.MILLISECONDS.toNanos(active ? ACTIVE_PERIOD_MS : IDLE_PERIOD_MS);
        long delayNs = TimerGrid.nanosUntilNext(nanoClock.getAsLong(), periodNs);
        nextTimer = timers.schedule(delayNs / NANOS_PER_MILLI, this::run);
    }
}
