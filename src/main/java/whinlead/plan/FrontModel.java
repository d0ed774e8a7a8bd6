package whinlead.plan;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * The queueing core of one front: cores of a speed that may change, first come first served or all at once in equal
 * parts, and a room beyond which it turns away. All in service are served at one rate, so a clock of attained service
 * orders their ends (Kleinrock, Queueing Systems II, 4.4), and an event costs the logarithm of what is in service. For
 * one thread, by its {@link Calendar}.
 */
public final class FrontModel {
    /** How a visit ended; told once, and at once where it is turned away. */
    public enum End {
        DONE,
        FULL,
        LOST
    }

    /**
     * What slows a front that holds too much, and what ends that: a front that thrashes.
     *
     * @param above slower once it holds more than this; infinite for never
     * @param speed its speed then, of the usual one
     * @param until as fast as usual again once it holds no more than this
     */
    public record Thrash(double above, double speed, double until) {
        /** None. */
        public static final Thrash NONE = new Thrash(Double.POSITIVE_INFINITY, 1, 0);
    }

    /** One that is at the front. */
    public static final class Visit {
        private final Consumer<End> told;
        private final double work;
        private final long turn;
        private double target = Double.NaN;
        private boolean over;

        private Visit(Consumer<End> told, double work, long turn) {
            this.told = told;
            this.work = work;
            this.turn = turn;
        }
    }

    private final Calendar calendar;
    private final int cores;
    private final int served;
    private final int room;
    private final Thrash thrash;
    private final PriorityQueue<Visit> serving =
            new PriorityQueue<>(Comparator.<Visit>comparingDouble(v -> v.target).thenComparingLong(v -> v.turn));
    private final ArrayDeque<Visit> waiting = new ArrayDeque<>();
    private Calendar.Due next;
    private double speed = 1;
    private boolean thrashing;
    private double attained;
    private double lastAt;
    private double workDone;
    private double coreTime;
    private long turns;

    /**
     * An idle front.
     *
     * @param sharing whether all are in service at once, in equal parts, or as many as there are cores
     * @param room how many it holds at most, those in service counted; beyond that one is turned away
     */
    public FrontModel(Calendar calendar, int cores, boolean sharing, int room, Thrash thrash) {
        this.calendar = calendar;
        this.cores = cores;
        this.served = sharing ? Integer.MAX_VALUE : cores;
        this.room = room;
        this.thrash = thrash;
    }

    /** One comes with so many milliseconds of work for a core of speed 1. */
    public Visit arrives(double work, Consumer<End> told) {
        Visit v = new Visit(told, work, turns++);
        if (held() >= room) {
            v.over = true;
            told.accept(End.FULL);
            return v;
        }
        advance();
        if (serving.size() < served) {
            serve(v);
        } else {
            waiting.add(v);
        }
        schedule();
        return v;
    }

    /** One leaves before it is done: what is left of its work is not done. It is told nothing. */
    public void leaves(Visit v) {
        if (v.over) {
            return;
        }
        v.over = true;
        advance();
        if (!serving.remove(v)) {
            waiting.remove(v);
        }
        fill();
        schedule();
    }

    /** Whether one is still there. */
    public boolean holds(Visit v) {
        return !v.over;
    }

    /** The front is lost with all that it holds, and comes back empty. */
    public void lose() {
        advance();
        ArrayDeque<Visit> held = new ArrayDeque<>(serving);
        held.addAll(waiting);
        serving.clear();
        waiting.clear();
        schedule();
        for (Visit v : held) {
            v.over = true;
            v.told.accept(End.LOST);
        }
    }

    /** From now on its cores are so fast. */
    public void speed(double now) {
        advance();
        speed = now;
        schedule();
    }

    /** How many it holds. */
    public int held() {
        return serving.size() + waiting.size();
    }

    /** Work done so far, in milliseconds of a core of speed 1. */
    public double workDone() {
        advance();
        return workDone;
    }

    /** Milliseconds for which cores were busy so far, summed over cores. */
    public double coreTime() {
        advance();
        return coreTime;
    }

    private void serve(Visit v) {
        v.target = attained + v.work;
        serving.add(v);
    }

    private void fill() {
        while (serving.size() < served && !waiting.isEmpty()) {
            serve(waiting.poll());
        }
    }

    private double pace() {
        return thrashing ? speed * thrash.speed() : speed;
    }

    private double rate() {
        return serving.isEmpty() ? 0 : pace() * Math.min(1, (double) cores / serving.size());
    }

    private void advance() {
        double span = calendar.now() - lastAt;
        lastAt = calendar.now();
        double each = span * rate();
        attained += each;
        workDone += each * serving.size();
        coreTime += span * Math.min(cores, serving.size());
    }

    // After any change: whether it thrashes, and when the next one is done.
    private void schedule() {
        thrashing = thrashing ? held() > thrash.until() : held() > thrash.above();
        if (next != null) {
            next.cancel();
            next = null;
        }
        double rate = rate();
        if (rate > 0) {
            next = calendar.at(calendar.now() + (serving.peek().target - attained) / rate, this::done);
        }
    }

    private void done() {
        next = null;
        advance();
        Visit v = serving.poll();
        // What floating point leaves over.
        attained = Math.max(attained, v.target);
        v.over = true;
        fill();
        schedule();
        v.told.accept(End.DONE);
    }
}
