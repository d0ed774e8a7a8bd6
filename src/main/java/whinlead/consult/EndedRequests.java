package whinlead.consult;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for a while the ends of requests that must not run again: a proxy may resend one on its own after it
 * received the end. Bounded; the oldest end is evicted first.
 */
final class EndedRequests {
    private record End(Directive directive, double untilMs) {}

    // In insertion order. An end with a shorter retention stays in the map until those before it expire, but is no
    // longer returned.
    private final Map<String, End> ends = new LinkedHashMap<>();
    private int capacity;

    EndedRequests(int capacity) {
        this.capacity = capacity;
    }

    /** Remembers an end for {@code retentionMs}; false if another was evicted before its time. */
    boolean add(String id, Directive directive, double nowMs, double retentionMs) {
        expire(nowMs);
        ends.remove(id);
        ends.put(id, new End(directive, nowMs + retentionMs));
        return trim();
    }

    /** Changes the number of ends that are remembered. */
    void setCapacity(int newCapacity) {
        capacity = newCapacity;
        trim();
    }

    // True if nothing was evicted.
    private boolean trim() {
        boolean room = ends.size() <= capacity;
        Iterator<String> oldest = ends.keySet().iterator();
        while (ends.size() > capacity) {
            oldest.next();
            oldest.remove();
        }
        return room;
    }

    /** How this request ended; null if unknown. */
    Directive find(String id, double nowMs) {
        expire(nowMs);
        End end = ends.get(id);
        return end == null || end.untilMs() <= nowMs ? null : end.directive();
    }

    private void expire(double nowMs) {
        Iterator<End> oldest = ends.values().iterator();
        while (oldest.hasNext() && oldest.next().untilMs() <= nowMs) {
            oldest.remove();
        }
    }

    int size() {
        return ends.size();
    }
}
