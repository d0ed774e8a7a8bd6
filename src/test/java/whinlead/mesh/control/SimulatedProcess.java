package whinlead.mesh.control;

import java.util.Random;
import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/** A process under simulated time that may stand still, with a clock of its own. */
class SimulatedProcess implements Timers {
    /** A process's clock is off by so much of its time at most, either way. */
    private static final double MAX_CLOCK_DRIFT = 0.004;

    private final Calendar calendar;
    private final int index;
    private final double clockRate;
    private final double clockOffset;
    private double frozenUntil;
    private double thawedAt = Double.NEGATIVE_INFINITY;
    private boolean up = true;

    SimulatedProcess(Calendar calendar, Random random, int index) {
        this.calendar = calendar;
        this.index = index;
        this.clockRate = 1 + (2 * random.nextDouble() - 1) * MAX_CLOCK_DRIFT;
        this.clockOffset = random.nextInt(1_000_000);
    }

    @Override
    public double now() {
        return clockOffset + calendar.now() * clockRate;
    }

    @Override
    public Timer after(double millis, Runnable task) {
        return calendar.after(millis / clockRate, () -> run(task));
    }

    /** Runs a task once it goes on, if it stands still; never, once it has ended. */
    final void run(Runnable task) {
        if (!up) {
            return;
        }
        if (calendar.now() < frozenUntil) {
            calendar.at(frozenUntil, () -> run(task));
        } else {
            task.run();
        }
    }

    final void freeze(double forMs) {
        frozenUntil = Math.max(frozenUntil, calendar.now() + forMs);
        thawedAt = frozenUntil;
    }

    /** When what it sends now leaves it. */
    final double leavesAt() {
        return Math.max(frozenUntil, calendar.now());
    }

    /** When it went on last, or will, in simulated time. */
    final double thawedAt() {
        return thawedAt;
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
