package cobaltrack.plan;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time, in milliseconds from 0, and what is to happen: runs what is due, by time and then in the
 * order asked for, so that the same run is played every time. For one thread.
 */
public final class Calendar {
    /** Something that is to happen, unless it is called off. */
    public static final class Due {
        private final double at;
        private final long turn;
        private Runnable task;

        private Due(double at, long turn, Runnable task) {
            this.at = at;
            this.turn = turn;
            this.task = task;
        }

        /** Calls it off. It is left where it is, without what it would hold on to. */
        public void cancel() {
            task = null;
        }
    }

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.<Due>comparingDouble(d -> d.at).thenComparingLong(d -> d.turn));
    private double now;
    private long turn;

    /** The time. */
    public double now() {
        return now;
    }

    /** Has a task run at a time; at once, but after what is under way, if that has passed. */
    public Due at(double time, Runnable task) {
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
