package whinlead.testbed.mesh.hardening;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** A driven clock in milliseconds and the queue of tasks due on it. Single-threaded. */
final class Scheduler {
    private record Due(double dueAtMs, long order, Runnable task) {}

    private final PriorityQueue<Due> queue = new PriorityQueue<>((a, b) ->
            a.dueAtMs() != b.dueAtMs() ? Double.compare(a.dueAtMs(), b.dueAtMs()) : Long.compare(a.order(), b.order()));
    private double nowMs;
    private long order;

    /** The current time in milliseconds. */
    double nowMs() {
        return nowMs;
    }

    /** Runs a task after a delay; tasks due at the same time run in the order in which they were scheduled. */
    void schedule(double delayMs, Runnable task) {
        queue.add(new Due(nowMs + delayMs, ++order, task));
    }

    /** Runs a task periodically, first after one period. */
    void scheduleRepeatedly(double periodMs, Runnable task) {
        schedule(periodMs, () -> {
            task.run();
            scheduleRepeatedly(periodMs, task);
        });
    }

    /** Runs due tasks up to the given time, or until the condition holds. */
    void runUntil(double untilMs, BooleanSupplier stop) {
        while (!queue.isEmpty() && queue.peek().dueAtMs() <= untilMs && !stop.getAsBoolean()) {
            Due due = queue.poll();
            nowMs = due.dueAtMs();
            due.task().run();
        }
        nowMs = stop.getAsBoolean() ? nowMs : untilMs;
    }
}
