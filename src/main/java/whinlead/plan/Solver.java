package whinlead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The least number of fronts that meets a goal under noise. Every number is tried with the same seeds, so that what
 * differs is the number (common random numbers), and with more of them only while its interval holds the goal. Service
 * need not rise with fronts (more handshakes, thinner evidence), so an answer counts only if the next numbers meet the
 * goal too. Pure; who runs the trials is the caller's.
 */
public final class Solver {
    /** Runs a number of fronts with each of these seeds. */
    @FunctionalInterface
    public interface Trial {
        /** The service that each seed gives, from 0 to 1; the same for the same arguments. */
        double[] service(int fronts, long[] seeds);
    }

    /** What is known of one number of fronts. */
    public enum Verdict {
        /** The whole interval is at the goal or over it. */
        MET,
        /** The whole interval is under the goal. */
        MISSED,
        /** The goal is within the interval, with as many seeds as are allowed. */
        UNSURE
    }

    /** A number that was tried. */
    public record Point(Verdict verdict, Interval service) {}

    /**
     * An answer.
     *
     * @param fronts the least number that was found to meet the goal, with the next ones; 0 if none up to the most does
     * @param certain whether the number below is known to miss it, or was not tried for being the least possible
     * @param outOfRuns whether the runs that were allowed ended the search; then {@code fronts} may not be the least
     * @param points all numbers that were tried
     */
    public record Answer(int fronts, boolean certain, boolean outOfRuns, Map<Integer, Point> points) {}

    /**
     * Bounds of a search.
     *
     * @param least the fewest fronts to try
     * @param most the most
     * @param seeds at first, at least 2, and at most for each number
     * @param runs at most in all
     * @param further how many of the next numbers have to meet the goal too
     */
    public record Bounds(int least, int most, int seeds, int seedsMost, int runs, int further) {}

    private final Trial trial;
    private final double goal;
    private final Bounds bounds;
    private final Map<Integer, List<Double>> values = new TreeMap<>();
    private int runs;

    /** A search that has not begun. */
    public Solver(Trial trial, double goal, Bounds bounds) {
        if (bounds.seeds() < 2 || bounds.least() < 1 || bounds.most() < bounds.least()) {
            throw new IllegalArgumentException("two seeds and a range of fronts are wanted");
        }
        this.trial = trial;
        this.goal = goal;
        this.bounds = bounds;
    }

    /** Searches; once only. */
    public Answer solve() {
        int missed = bounds.least() - 1;
        int met = 0;
        // Doubles until one meets it.
        for (int n = bounds.least(), step = 1; met == 0; step *= 2) {
            if (holds(n)) {
                met = n;
            } else {
                missed = n;
                if (n == bounds.most()) {
                    return answer(0);
                }
                n = (int) Math.min(bounds.most(), (long) n + step);
            }
            if (spent()) {
                return answer(met);
            }
        }
        while (met - missed > 1 && !spent()) {
            int n = missed + (met - missed) / 2;
            if (holds(n)) {
                met = n;
            } else {
                missed = n;
            }
        }
        return answer(met);
    }

    // This number and the next ones.
    private boolean holds(int n) {
        for (int k = n; k <= Math.min(bounds.most(), n + bounds.further()); k++) {
            if (verdict(k) != Verdict.MET) {
                return false;
            }
        }
        return true;
    }

    private boolean spent() {
        return runs >= bounds.runs();
    }

    private Verdict verdict(int n) {
        List<Double> known = values.computeIfAbsent(n, k -> new ArrayList<>());
        while (true) {
            Verdict v = of(known);
            int more = known.isEmpty() ? bounds.seeds() : Math.min(bounds.seedsMost() - known.size(), known.size());
            if (!known.isEmpty() && (v != Verdict.UNSURE || more <= 0 || spent())) {
                return v;
            }
            long[] seeds = new long[more];
            for (int i = 0; i < more; i++) {
                seeds[i] = known.size() + i + 1L;
            }
            for (double d : trial.service(n, seeds)) {
                known.add(d);
            }
            runs += more;
        }
    }

    private Verdict of(List<Double> known) {
        if (known.size() < 2) {
            return Verdict.UNSURE;
        }
        Interval i = interval(known);
        return i.over(goal) ? Verdict.MET : i.under(goal) ? Verdict.MISSED : Verdict.UNSURE;
    }

    private static Interval interval(List<Double> known) {
        return Interval.of(known.stream().mapToDouble(d -> d).toArray());
    }

    private Answer answer(int fronts) {
        Map<Integer, Point> points = new TreeMap<>();
        values.forEach((n, known) -> points.put(n, new Point(of(known), interval(known))));
        Point below = points.get(fronts - 1);
        boolean certain =
                fronts > 0 && (fronts == bounds.least() || below != null && below.verdict() == Verdict.MISSED);
        return new Answer(fronts, certain, spent(), points);
    }
}
