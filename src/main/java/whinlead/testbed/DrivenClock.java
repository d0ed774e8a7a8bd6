package whinlead.testbed;

import whinlead.engine.Timers;
import whinlead.plan.Calendar;

/** Simulated time, in milliseconds from 0, by which an engine runs as by a loop. For one thread. */
public final class DrivenClock implements Workshop.Timer, Timers {
    private final Calendar calendar = new Calendar();

    @Override
    public double nowMs() {
        return calendar.nowMs();
    }

    @Override
    public void at(double time, Runnable task) {
        calendar.scheduleAt(time, task);
    }

    @Override
    public TimerHandle schedule(double millis, Runnable task) {
        return calendar.schedule(millis, task);
    }

    /** Runs all that falls due until this time, which then is now. */
    public void runTo(double end) {
        calendar.runUntil(end);
    }
}
