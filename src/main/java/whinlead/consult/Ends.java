package whinlead.consult;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for a while how requests ended that must not run again: a proxy may send one anew, on its own, after it had
 * its end. Bounded; the oldest goes first.
 */
final class Ends {
    private record End(Directive directive, double until) {}

    // In the order of their ends. One kept for less than those before it waits for them to go, but counts no
    // more.
    private final Map<String, End> ends = new LinkedHashMap<>();
    private int most;

    Ends(int most) {
        this.most = most;
    }

    /** Notes one for so many milliseconds; false if another had to be forgotten for it before its time. */
    boolean add(String id, Directive directive, double now, double keep) {
        expire(now);
        ends.remove(id);
        ends.put(id, new End(directive, now + keep));
        return trim();
    }

    /** Keeps so many from now on. */
    void bound(int changed) {
        most = changed;
        trim();
    }

    // True if there was room for all.
    private boolean trim() {
        boolean room = ends.size() <= most;
        Iterator<String> oldest = ends.keySet().iterator();
        while (ends.size() > most) {
            oldest.next();
            oldest.remove();
        }
        return room;
    }

    /** How this request ended, or null. */
    Directive of(String id, double now) {
        expire(now);
        End end = ends.get(id);
        return end == null || end.until() <= now ? null : end.directive();
    }

    private void expire(double now) {
        Iterator<End> oldest = ends.values().iterator();
        while (oldest.hasNext() && oldest.next().until() <= now) {
            oldest.remove();
        }
    }

    int size() {
        return ends.size();
    }
}
