package whinlead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Searches for the least number of fronts that meets a goal under noise. Every count is tried with the same seeds, so
 * that only the count differs (common random numbers); more seeds are used while the interval contains the goal.
 * Service need not increase with the number of fronts (more handshakes, fewer observations of each front), so a count
 * is accepted only if the next counts meet the goal too. No side effects; the caller runs the trials.
 */
public final class Solver {
    /** Runs a number of fronts with each given seed. */
    @FunctionalInterface
    public interface Trial {
        /** Returns the service for each seed, from 0 to 1; equal arguments give equal results. */
        double[] service(int fronts, long[] seeds);
    }

    /** Result for one number of fronts. */
    public enum Verdict {
        /** The whole interval is at or above the goal. */
        MET,
        /** The whole interval is below the goal. */
        MISSED,
        /** The interval contains the goal after all permitted seeds or runs. */
        UNSURE
    }

    /** Result for a front count that was tried. */
    public record Point(Verdict verdict, Interval service) {}

    /**
     * Result of the search.
     *
     * @param fronts the least count found that meets the goal together with the next counts; 0 if there is none
     * @param certain whether the next lower count is known to miss the goal, or lies below the search range
     * @param outOfRuns whether the limit on runs was reached; {@code fronts} may then not be the least
     * @param points all counts that were tried
     */
    public record Result(int fronts, boolean certain, boolean outOfRuns, Map<Integer, Point> points) {}

    /**
     * Limits of a search.
     *
     * @param minFronts the fewest fronts to try
     * @param maxFronts the most fronts to try
     * @param seeds initial seeds for each count, at least 2
     * @param maxSeeds maximum number of seeds for each count
     * @param maxRuns number of runs after which the search stops
     * @param confirmations how many of the next counts must also meet the goal
     */
    public record SearchBounds(int minFronts, int maxFronts, int seeds, int maxSeeds, int maxRuns, int confirmations) {}

    private final Trial trial;
    private final double goal;
    private final SearchBounds bounds;
    private final Map<Integer, List<Double>> samplesByFronts = new TreeMap<>();
    private int runs;

    /** Creates a search. */
    public Solver(Trial trial, double goal, SearchBounds bounds) {
        if (bounds.seeds() < 2 || bounds.minFronts() < 1 || bounds.maxFronts() < bounds.minFronts()) {
            throw new IllegalArgumentException(
                    "at least two seeds and a non-empty range of 1 or more fronts are required");
        }
        this.trial = trial;
        this.goal = goal;
        this.bounds = bounds;
    }

    /** Runs the search; may be called once only. */
    public Result solve() {
        int missed = bounds.minFronts() - 1;
        int met = 0;
        // Doubles the step until a count meets the goal.
        for (int fronts = bounds.minFronts(), step = 1; met == 0; step *= 2) {
            if (isMetFrom(fronts)) {
                met = fronts;
            } else {
                missed = fronts;
                if (fronts == bounds.maxFronts()) {
                    return result(0);
                }
                fronts = (int) Math.min(bounds.maxFronts(), (long) fronts + step);
            }
            if (runsExhausted()) {
                return result(met);
            }
        }
        while (met - missed > 1 && !runsExhausted()) {
            int fronts = missed + (met - missed) / 2;
            if (isMetFrom(fronts)) {
                met = fronts;
            } else {
                missed = fronts;
            }
        }
        return result(met);
    }

    // Whether this count and the next ones meet the goal.
    private boolean isMetFrom(int fronts) {
        for (int count = fronts; count <= Math.min(bounds.maxFronts(), fronts + bounds.confirmations()); count++) {
            if (verdict(count) != Verdict.MET) {
                return false;
            }
        }
        return true;
    }

    private boolean runsExhausted() {
        return runs >= bounds.maxRuns();
    }

    private Verdict verdict(int fronts) {
        List<Double> samples = samplesByFronts.computeIfAbsent(fronts, k -> new ArrayList<>());
        while (true) {
            Verdict verdict = verdictOf(samples);
            int more =
                    samples.isEmpty() ? bounds.seeds() : Math.min(bounds.maxSeeds() - samples.size(), samples.size());
            if (!samples.isEmpty() && (verdict != Verdict.UNSURE || more <= 0 || runsExhausted())) {
                return verdict;
            }
            long[] seeds = new long[more];
            for (int i = 0; i < more; i++) {
                seeds[i] = samples.size() + i + 1L;
            }
            for (double sample : trial.service(fronts, seeds)) {
                samples.add(sample);
            }
            runs += more;
        }
    }

    private Verdict verdictOf(List<Double> samples) {
        if (samples.size() < 2) {
            return Verdict.UNSURE;
        }
        Interval interval = interval(samples);
        return interval.isAtLeast(goal) ? Verdict.MET : interval.isBelow(goal) ? Verdict.MISSED : Verdict.UNSURE;
    }

    private static Interval interval(List<Double> samples) {
        return Interval.of(samples.stream().mapToDouble(d -> d).toArray());
    }

    private Result result(int fronts) {
        Map<Integer, Point> points = new TreeMap<>();
        samplesByFronts.forEach(
                (count, samples) -> points.put(count, new Point(verdictOf(samples), interval(samples))));
        Point below = points.get(fronts - 1);
        boolean certain =
                fronts > 0 && (fronts == bounds.minFronts() || below != null && below.verdict() == Verdict.MISSED);
        return new Result(fronts, certain, runsExhausted(), points);
    }
}
