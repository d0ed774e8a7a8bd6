package whinlead.plan;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Queueing model of one front: cores of variable speed, first come first served or processor sharing, and a limited
 * room; arrivals beyond it are rejected. All visits in service progress at the same rate, so a clock of attained
 * service orders their completions (Kleinrock, Queueing Systems II, 4.4), and an event costs O(log n) for n visits in
 * service. Not thread-safe; driven by its {@link Calendar}.
 */
public final class FrontModel {
    /** How a visit ended. Reported once, and immediately if the visit is rejected. */
    public enum End {
        DONE,
        FULL,
        LOST
    }

    /**
     * Thrashing: when an overloaded front slows down and when it recovers.
     *
     * @param above slower once it has more visits than this; infinite for never
     * @param speed speed while thrashing, as a share of the normal one
     * @param until back to normal speed once it has no more visits than this
     */
    public record Thrash(double above, double speed, double until) {
        /** No thrashing. */
        public static final Thrash NONE = new Thrash(Double.POSITIVE_INFINITY, 1, 0);
    }

    /** A request at the front, waiting or in service. */
    public static final class Visit {
        private final Consumer<End> onEnd;
        private final double work;
        private final long sequence;
        private double targetAttainedMs = Double.NaN;
        private boolean ended;

        private Visit(Consumer<End> onEnd, double work, long sequence) {
            this.onEnd = onEnd;
            this.work = work;
            this.sequence = sequence;
        }
    }

    private final Calendar calendar;
    private final int cores;
    private final int maxInService;
    private final int room;
    private final Thrash thrash;
    private final PriorityQueue<Visit> inService = new PriorityQueue<>(
            Comparator.<Visit>comparingDouble(v -> v.targetAttainedMs).thenComparingLong(v -> v.sequence));
    private final ArrayDeque<Visit> waiting = new ArrayDeque<>();
    private Calendar.Event nextCompletion;
    private double speed = 1;
    private boolean thrashing;
    private double attainedMs;
    private double lastAdvanceMs;
    private double workDone;
    private double coreTime;
    private long nextSequence;

    /**
     * Creates an idle front.
     *
     * @param sharing true for processor sharing among all visits, false for one visit per core in turn
     * @param room maximum number of visits, including those in service; further arrivals are rejected
     */
    public FrontModel(Calendar calendar, int cores, boolean sharing, int room, Thrash thrash) {
        this.calendar = calendar;
        this.cores = cores;
        this.maxInService = sharing ? Integer.MAX_VALUE : cores;
        this.room = room;
        this.thrash = thrash;
    }

    /** Adds a visit with this work, in milliseconds of a core of speed 1. */
    public Visit arrive(double work, Consumer<End> onEnd) {
        Visit visit = new Visit(onEnd, work, nextSequence++);
        if (visitCount() >= room) {
            visit.ended = true;
            onEnd.accept(End.FULL);
            return visit;
        }
        advance();
        if (inService.size() < maxInService) {
            startService(visit);
        } else {
            waiting.add(visit);
        }
        schedule();
        return visit;
    }

    /** Withdraws a visit before it is done: its remaining work is not done, and no end is reported. */
    public void withdraw(Visit visit) {
        if (visit.ended) {
            return;
        }
        visit.ended = true;
        advance();
        if (!inService.remove(visit)) {
            waiting.remove(visit);
        }
        startWaiting();
        schedule();
    }

    /** Whether the visit is still at the front. */
    public boolean isPresent(Visit visit) {
        return !visit.ended;
    }

    /** Ends all visits as lost; the front is empty afterwards. */
    public void loseAll() {
        advance();
        ArrayDeque<Visit> lostVisits = new ArrayDeque<>(inService);
        lostVisits.addAll(waiting);
        inService.clear();
        waiting.clear();
        schedule();
        for (Visit visit : lostVisits) {
            visit.ended = true;
            visit.onEnd.accept(End.LOST);
        }
    }

    /** Changes the speed of the cores from now on. */
    public void speed(double newSpeed) {
        advance();
        speed = newSpeed;
        schedule();
    }

    /** Number of visits, waiting or in service. */
    public int visitCount() {
        return inService.size() + waiting.size();
    }

    /** Total work done, in milliseconds of a core of speed 1. */
    public double workDone() {
        advance();
        return workDone;
    }

    /** Total busy time in milliseconds, summed over cores. */
    public double coreTime() {
        advance();
        return coreTime;
    }

    private void startService(Visit visit) {
        visit.targetAttainedMs = attainedMs + visit.work;
        inService.add(visit);
    }

    private void startWaiting() {
        while (inService.size() < maxInService && !waiting.isEmpty()) {
            startService(waiting.poll());
        }
    }

    private double currentSpeed() {
        return thrashing ? speed * thrash.speed() : speed;
    }

    private double serviceRate() {
        return inService.isEmpty() ? 0 : currentSpeed() * Math.min(1, (double) cores / inService.size());
    }

    private void advance() {
        double span = calendar.nowMs() - lastAdvanceMs;
        lastAdvanceMs = calendar.nowMs();
        double attainedInSpan = span * serviceRate();
        attainedMs += attainedInSpan;
        workDone += attainedInSpan * inService.size();
        coreTime += span * Math.min(cores, inService.size());
    }

    // Called after every change: updates the thrashing state and schedules the next completion.
    private void schedule() {
        thrashing = thrashing ? visitCount() > thrash.until() : visitCount() > thrash.above();
        if (nextCompletion != null) {
            nextCompletion.cancel();
            nextCompletion = null;
        }
        double rate = serviceRate();
        if (rate > 0) {
            nextCompletion = calendar.scheduleAt(
                    calendar.nowMs() + (inService.peek().targetAttainedMs - attainedMs) / rate, this::completeNext);
        }
    }

    private void completeNext() {
        nextCompletion = null;
        advance();
        Visit visit = inService.poll();
        // Corrects floating-point rounding.
        attainedMs = Math.max(attainedMs, visit.targetAttainedMs);
        visit.ended = true;
        startWaiting();
        schedule();
        visit.onEnd.accept(End.DONE);
    }
}
