package whinlead.mesh.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/** Operations in the order of their arrival, each with a deadline; bounded. Not safe for several threads. */
final class OperationQueue {
    /** How many operations may wait. */
    private static final int CAPACITY = 64;
    /** How long an operation may wait and run, in milliseconds. */
    private static final double TIMEOUT = 2000;

    private record Entry(PendingOperation operation, double deadline) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    /** Adds an operation at the end; false if the queue is full. */
    boolean offer(double now, PendingOperation operation) {
        if (entries.size() >= CAPACITY) {
            return false;
        }
        entries.add(new Entry(operation, now + TIMEOUT));
        return true;
    }

    /** The operation whose turn it is, or null. */
    PendingOperation head() {
        Entry head = entries.peek();
        return head == null ? null : head.operation();
    }

    /** Takes the head out. */
    void removeHead() {
        entries.poll();
    }

    /** Takes out all operations whose deadline has passed, in their order. */
    List<PendingOperation> removeExpired(double now) {
        return removeIf(entry -> now > entry.deadline());
    }

    /** Takes out all operations, in their order. */
    List<PendingOperation> removeAll() {
        return removeIf(entry -> true);
    }

    private List<PendingOperation> removeIf(Predicate<Entry> condition) {
        List<PendingOperation> removed = new ArrayList<>();
        for (Iterator<Entry> all = entries.iterator(); all.hasNext(); ) {
            Entry entry = all.next();
            if (condition.test(entry)) {
                all.remove();
                removed.add(entry.operation());
            }
        }
        return removed;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }
}
