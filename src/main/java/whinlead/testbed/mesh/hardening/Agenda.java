package whinlead.testbed.mesh.hardening;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/** What is to happen, in the order of its time: a driven clock in milliseconds. One thread. */
final class Agenda {
    private record Due(double at, long order, Runnable task) {}

    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private double now;
    private long order;

    /** The time. */
    double now() {
        return now;
    }

    /** Runs it after so long; what is due at one time runs in the order in which it was asked for. */
    void in(double after, Runnable task) {
        queue.add(new Due(now + after, ++order, task));
    }

    /** Runs it each so often, from now on. */
    void every(double millis, Runnable task) {
        in(millis, () -> {
            task.run();
            every(millis, task);
        });
    }

    /** Lets time pass up to then, or until something is enough. */
    void run(double until, BooleanSupplier enough) {
        while (!queue.isEmpty() && queue.peek().at() <= until && !enough.getAsBoolean()) {
            Due due = queue.poll();
            now = due.at();
            due.task().run();
        }
        now = enough.getAsBoolean() ? now : until;
    }
}
