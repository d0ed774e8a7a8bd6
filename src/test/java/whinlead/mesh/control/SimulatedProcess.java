package whinlead.mesh.control;

import java.util.Random;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/** A process under simulated time that has its own clock and can be suspended. */
class SimulatedProcess implements Timers {
    /** The maximum relative error of a process's clock rate, in both directions. */
    private static final double MAX_CLOCK_DRIFT = 0.004;

    private final Calendar calendar;
    private final int index;
    private final double clockRate;
    private final double clockOffsetMs;
    private double frozenUntilMs;
    private double resumedAtMs = Double.NEGATIVE_INFINITY;
    private boolean up = true;

    SimulatedProcess(Calendar calendar, Random random, int index) {
        this.calendar = calendar;
        this.index = index;
        this.clockRate = 1 + (2 * random.nextDouble() - 1) * MAX_CLOCK_DRIFT;
        this.clockOffsetMs = random.nextInt(1_000_000);
    }

    @Override
    public double nowMs() {
        return clockOffsetMs + calendar.nowMs() * clockRate;
    }

    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        return calendar.schedule(millis / clockRate, () -> run(task));
    }

    /** Runs a task; if the process is suspended, runs it on resumption; if the process has ended, never. */
    final void run(Runnable task) {
        if (!up) {
            return;
        }
        if (calendar.nowMs() < frozenUntilMs) {
            calendar.scheduleAt(frozenUntilMs, () -> run(task));
        } else {
            task.run();
        }
    }

    final void freeze(double durationMs) {
        frozenUntilMs = Math.max(frozenUntilMs, calendar.nowMs() + durationMs);
        resumedAtMs = frozenUntilMs;
    }

    /** When a message sent now leaves the process. */
    final double sendTimeMs() {
        return Math.max(frozenUntilMs, calendar.nowMs());
    }

    /** When the process last resumed, or will resume, in simulated time. */
    final double resumedAtMs() {
        return resumedAtMs;
    }

    final void kill() {
        up = false;
    }

    final boolean isUp() {
        return up;
    }

    final int index() {
        return index;
    }
}
