package whinlead.plan;

import java.util.Comparator;
import java.util.PriorityQueue;
import whinlead.engine.Timers;

/**
 * Event calendar of a simulation: the simulated time, in milliseconds from 0, and the scheduled tasks. Tasks run in
 * order of time and then in the order in which they were scheduled, so runs are reproducible. Not thread-safe.
 */
public final class Calendar implements Timers {
    /** A scheduled task, which can be cancelled. */
    public static final class Due implements TimerHandle {
        private final double timeMs;
        private final long sequence;
        private Runnable task;

        private Due(double timeMs, long sequence, Runnable task) {
            this.timeMs = timeMs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            // The entry stays in the queue; clearing the task lets it be garbage collected.
            task = null;
        }
    }

    private final PriorityQueue<Due> events =
            new PriorityQueue<>(Comparator.<Due>comparingDouble(d -> d.timeMs).thenComparingLong(d -> d.sequence));
    private double now;
    private long nextSequence;

    @Override
    public double nowMs() {
        return now;
    }

    /** Schedules a task for a time. If that time has passed, the task runs next, after those already due now. */
    public Due at(double timeMs, Runnable task) {
        Due added = new Due(Math.max(now, timeMs), nextSequence++, task);
        events.add(added);
        return added;
    }

    @Override
    public Due schedule(double millis, Runnable task) {
        return at(now + millis, task);
    }

    /** Runs all tasks that are due up to this time, inclusive, and advances the clock to it. */
    public void runTo(double endMs) {
        while (!events.isEmpty() && events.peek().timeMs <= endMs) {
            Due next = events.poll();
            now = next.timeMs;
            if (next.task != null) {
                next.task.run();
            }
        }
        now = endMs;
    }
}
