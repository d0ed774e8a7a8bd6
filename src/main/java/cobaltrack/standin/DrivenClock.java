package cobaltrack.standin;

import cobaltrack.engine.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time, in milliseconds from 0: runs what is due, by time and then in the order asked for. An
 * engine runs by it as by a loop. For one thread.
 */
public final class DrivenClock implements Workshop.Timer, Timers {
    private static final class Due {
        final double at;
        final long turn;
        Runnable task;

        Due(double at, long turn, Runnable task) {
            this.at = at;
            this.turn = turn;
            this.task = task;
        }
    }

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.<Due>comparingDouble(d -> d.at).thenComparingLong(d -> d.turn));
    private double now;
    private long turn;

    @Override
    public double now() {
        return now;
    }

    @Override
    public void at(double time, Runnable task) {
        add(time, task);
    }

    @Override
    public Timer after(double millis, Runnable task) {
        Due added = add(now + millis, task);
        return () -> {
            // Left where it is, without what it would hold on to.
            added.task = null;
        };
    }

    private Due add(double time, Runnable task) {
        Due added = new Due(Math.max(now, time), turn++, task);
        due.add(added);
        return added;
    }

    /** Runs all that falls due until this time, which then is now. */
    public void runTo(double end) {
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.poll();
            now = next.at;
            if (next.task != null) {
                next.task.run();
            }
        }
        now = end;
    }
}
