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
    public static final class Event implements TimerHandle {
        private final double timeMs;
        private final long sequence;
        private Runnable task;

        private Event(double timeMs, long sequence, Runnable task) {
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

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.<Event>comparingDouble(d -> d.timeMs).thenComparingLong(d -> d.sequence));
    private double now;
    private long nextSequence;

    @Override
    public double nowMs() {
        return now;
    }

    /** Schedules a task for a time. If that time has passed, the task runs next, after those already due now. */
    public Event scheduleAt(double timeMs, Runnable task) {
        Event added = new Event(Math.max(now, timeMs), nextSequence++, task);
        events.add(added);
        return added;
    }

    @Override
    public Event schedule(double millis, Runnable task) {
        return scheduleAt(now + millis, task);
    }

    /** Runs all tasks that are due up to this time, inclusive, and advances the clock to it. */
    public void runUntil(double endMs) {
        while (!events.isEmpty() && events.peek().timeMs <= endMs) {
            Event next = events.poll();
            now = next.timeMs;
            if (next.task != null) {
                next.task.run();
            }
        }
        now = endMs;
    }
}
