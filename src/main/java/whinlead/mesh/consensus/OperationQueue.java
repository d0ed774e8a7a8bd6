package whinlead.mesh.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/** Operations in order of arrival, each with a deadline; bounded. Not safe for several threads. */
final class OperationQueue {
    /** The maximum number of waiting operations. */
    private static final int CAPACITY = 64;
    /** The maximum time that an operation may wait and run, in milliseconds. */
    private static final double TIMEOUT_MS = 2000;

    private record Entry(PendingOperation operation, double deadlineMs) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    /** Adds an operation at the end; false if the queue is full. */
    boolean offer(double nowMs, PendingOperation operation) {
        if (entries.size() >= CAPACITY) {
            return false;
        }
        entries.add(new Entry(operation, nowMs + TIMEOUT_MS));
        return true;
    }

    /** The operation at the head, or null. */
    PendingOperation head() {
        Entry head = entries.peek();
        return head == null ? null : head.operation();
    }

    /** Removes the head. */
    void removeHead() {
        entries.poll();
    }

    /** Removes all operations whose deadline has passed and returns them in order. */
    List<PendingOperation> removeExpired(double nowMs) {
        return removeIf(entry -> nowMs > entry.deadlineMs());
    }

    /** Removes all operations and returns them in order. */
    List<PendingOperation> removeAll() {
        return removeIf(entry -> true);
    }

    private List<PendingOperation> removeIf(Predicate<Entry> condition) {
        List<PendingOperation> removed = new ArrayList<>();
        for (Iterator<Entry> iterator = entries.iterator(); iterator.hasNext(); ) {
            Entry entry = iterator.next();
            if (condition.test(entry)) {
                iterator.remove();
                removed.add(entry.operation());
            }
        }
        return removed;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }
}
