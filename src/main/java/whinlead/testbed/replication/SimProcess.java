package whinlead.testbed.replication;

import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/**
 * The time of one simulated process: its clock is apart from the others' by a fixed time, and while it is frozen
 * nothing of it runs, and what was due does so in its order when it wakes.
 */
final class SimProcess implements Timers {
    /** Milliseconds since Unix time began, when the simulation does. */
    private static final double BEGAN_MS = 1.8e12;

    private final Calendar world;
    private final double skew;
    private boolean alive = true;
    private double frozenUntil;
    private double stood;
    private double lastFrozen = Double.NEGATIVE_INFINITY;

    SimProcess(Calendar world, double skew) {
        this.world = world;
        this.skew = skew;
    }

    @Override
    public double nowMs() {
        return BEGAN_MS + world.nowMs() + skew;
    }

    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        Calendar.Event[] due = new Calendar.Event[1];
        due[0] = world.schedule(Math.max(0, millis), () -> run(task, due));
        return () -> due[0].cancel();
    }

    /** Runs this as soon as the process can; never if it is dead by then. */
    void run(Runnable task) {
        run(task, new Calendar.Event[1]);
    }

    // A timer that is put off while the process stands still can still be called off.
    private void run(Runnable task, Calendar.Event[] due) {
        if (!alive) {
            return;
        }
        if (world.nowMs() < frozenUntil) {
            due[0] = world.scheduleAt(frozenUntil, () -> run(task, due));
        } else {
            task.run();
        }
    }

    void freeze(double millis) {
        double until = Math.max(frozenUntil, world.nowMs() + millis);
        stood += until - Math.max(frozenUntil, world.nowMs());
        frozenUntil = until;
        lastFrozen = frozenUntil;
    }

    /** True if it has stood still at any time since then. */
    boolean stoodStill(double since) {
        return lastFrozen >= since;
    }

    boolean frozen() {
        return world.nowMs() < frozenUntil;
    }

    void kill() {
        alive = false;
    }

    boolean alive() {
        return alive;
    }

    /** The same process by a clock that does not see that it stood still: a fault to be found. */
    Timers blind() {
        return new Timers() {
            @Override
            public double nowMs() {
                return SimProcess.this.nowMs() - stood;
            }

            @Override
            public TimerHandle schedule(double millis, Runnable task) {
                double due = nowMs() + millis;
                return SimProcess.this.schedule(millis, () -> {
                    if (nowMs() < due) {
                        // It went on while the process stood still.
                        schedule(due - nowMs(), task);
                    } else {
                        task.run();
                    }
                });
            }
        };
    }
}
