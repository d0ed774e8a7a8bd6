package whinlead.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import whinlead.Contract;

/**
 * What truly became of every request: where it ran, how often, and what its client was told; and whether the four rules
 * held. It is told by the stand-ins and asks the program under test nothing. Times are milliseconds since the run
 * began. Not safe for use by several threads.
 */
public final class Ledger {
    /** What a client was told in the end. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED
    }

    /**
     * Counts of the tries asked for within a span of time.
     *
     * @param good served within the aim of their class
     * @param open not ended when the run was over
     */
    public record Count(int asked, int served, int good, int refused, int failed, int open) {
        /** Share refused of what was asked; 0 where nothing was. */
        public double refusedShare() {
            return asked == 0 ? 0 : (double) refused / asked;
        }

        /** Share that did not get an answer of an endpoint within the aim. */
        public double lostShare() {
            return asked == 0 ? 0 : 1 - (double) good / asked;
        }
    }

    private static final class Entry {
        final int classIndex;
        final double askedAt;
        final double endBy;
        int runs;
        End end;
        double endAt;

        Entry(int classIndex, double askedAt, double endBy) {
            this.classIndex = classIndex;
            this.askedAt = askedAt;
            this.endBy = endBy;
        }
    }

    private final List<Contract.RequestClass> classes;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final List<Entry> inOrder = new ArrayList<>();
    private int ranTwice;
    private int endedTwice;
    private int endedLate;
    private int refusedThoughRan;

    /** A ledger of requests of these classes. */
    public Ledger(List<Contract.RequestClass> classes) {
        this.classes = classes;
    }

    /** A client asked; an answer is due by {@code endBy}. */
    public void asked(long id, int classIndex, double now, double endBy) {
        Entry e = new Entry(classIndex, now, endBy);
        entries.put(id, e);
        inOrder.add(e);
    }

    /** An endpoint began to work on a request. */
    public void ran(long id) {
        Entry e = entries.get(id);
        e.runs++;
        boolean unsafe = classes.get(e.classIndex).effect() == Contract.Effect.UNSAFE;
        if (unsafe && e.runs == 2) {
            ranTwice++;
        }
        if (unsafe && e.end == End.REFUSED) {
            refusedThoughRan++;
        }
    }

    /** A client was told the end. */
    public void ended(long id, End end, double now) {
        Entry e = entries.get(id);
        if (e.end != null) {
            endedTwice++;
            return;
        }
        e.end = end;
        e.endAt = now;
        if (now > e.endBy) {
            endedLate++;
        }
        if (end == End.REFUSED && e.runs > 0 && classes.get(e.classIndex).effect() == Contract.Effect.UNSAFE) {
            refusedThoughRan++;
        }
    }

    /** The tries asked for from one time until before another. */
    public Count count(double from, double to) {
        return count(from, to, -1);
    }

    /** Those of one class, or of all for -1. */
    public Count count(double from, double to, int classIndex) {
        int[] ends = new int[End.values().length];
        int asked = 0;
        int good = 0;
        int open = 0;
        for (Entry e : inOrder) {
            if (e.askedAt < from || e.askedAt >= to || classIndex >= 0 && e.classIndex != classIndex) {
                continue;
            }
            asked++;
            if (e.end == null) {
                open++;
                continue;
            }
            ends[e.end.ordinal()]++;
            if (e.end == End.SERVED
                    && e.endAt - e.askedAt <= classes.get(e.classIndex).latencyTarget()) {
                good++;
            }
        }
        return new Count(
                asked, ends[End.SERVED.ordinal()], good, ends[End.REFUSED.ordinal()], ends[End.FAILED.ordinal()], open);
    }

    /** Each rule that was broken, with how often; empty if none was. Requests that never ended are lost. */
    public Map<String, Integer> broken() {
        Map<String, Integer> broken = new HashMap<>();
        note(broken, "lost", count(0, Double.MAX_VALUE).open());
        note(broken, "ended twice", endedTwice);
        note(broken, "ended after its time", endedLate);
        note(broken, "unsafe ran twice", ranTwice);
        note(broken, "refused though it ran", refusedThoughRan);
        return broken;
    }

    private static void note(Map<String, Integer> broken, String rule, int times) {
        if (times > 0) {
            broken.put(rule, times);
        }
    }
}
