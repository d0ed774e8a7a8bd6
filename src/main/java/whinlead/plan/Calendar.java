package whinlead.plan;

import java.util.Comparator;
import java.util.PriorityQueue;
import whinlead.engine.Timers;

/**
 * Simulated time, in milliseconds from 0, and what is to happen: runs what is due, by time and then in the order asked
 * for, so that the same run is played every time. For one thread.
 */
public final class Calendar implements Timers {
    /** Something that is to happen, unless it is called off. */
    public static final class Due implements Timer {
        private final double at;
        private final long turn;
        private Runnable task;

        private Due(double at, long turn, Runnable task) {
            this.at = at;
            this.turn = turn;
            this.task = task;
        }

        @Override
        public void cancel() {
            // Left where it is, without what it would hold on to.
            task = null;
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

    /** Has a task run at a time; at once, but after what is under way, if that has passed. */
    public Due at(double time, Runnable task) {
        Due added = new Due(Math.max(now, time), turn++, task);
        due.add(added);
        return added;
    }

    @Override
    public Due after(double millis, Runnable task) {
        return at(now + millis, task);
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
