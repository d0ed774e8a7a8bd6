package whinlead.mesh.control;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import whinlead.engine.Timers;
import whinlead.mesh.wire.TimerGrid;

/**
 * Has the consensus module act periodically: often while something is under way and for some time after the last
 * activity, else less often, for a wake-up costs on an idle machine too. On its loop's thread.
 */
final class ConsensusTicker {
    /** Between two acts where something is under way, in milliseconds. */
    static final long ACTIVE_PERIOD_MS = 25;
    /** The same where nothing is; short against what counts as a sleep of this process. */
    static final long IDLE_PERIOD_MS = 75;
    /** From the last activity until the module counts as idle, in milliseconds. */
    static final long ACTIVE_MS = 2000;

    private static final double NANOS_IN_MILLI = 1e6;

    private final Timers timers;
    private final LongSupplier nanoClock;
    private final Runnable act;
    private final BooleanSupplier busy;
    private boolean active;
    private long activeUntil;
    private Timers.Timer next;

    /**
     * Nothing acts before {@link #activity} is called.
     *
     * @param nanoClock steady, in nanoseconds
     * @param act has the module act; may call {@link #activity}, and throws nothing
     * @param busy whether something is under way, however long ago it began
     */
    ConsensusTicker(Timers timers, LongSupplier nanoClock, Runnable act, BooleanSupplier busy) {
        this.timers = timers;
        this.nanoClock = nanoClock;
        this.act = act;
        this.busy = busy;
    }

    /** Something has happened that the module follows up: it acts often from now on. */
    void activity() {
        activeUntil = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ACTIVE_MS);
        if (!active) {
            active = true;
            schedule();
        }
    }

    private void run() {
        act.run();
        active = busy.getAsBoolean() || nanoClock.getAsLong() - activeUntil < 0;
        schedule();
    }

    private void schedule() {
        if (next != null) {
            next.cancel();
        }
        long period = TimeUnit.MILLISECONDS.toNanos(active ? ACTIVE_PERIOD_MS : IDLE_PERIOD_MS);
        long wait = TimerGrid.untilNext(nanoClock.getAsLong(), period);
        next = timers.after(wait / NANOS_IN_MILLI, this::run);
    }
}
