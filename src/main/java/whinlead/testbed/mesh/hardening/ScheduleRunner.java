package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Plays many schedules and aggregates their outcomes. Used by one thread; starts and joins worker threads. */
public final class ScheduleRunner {
    /** The measurements of all schedules. */
    public static final class Samples {
        private double[] values = new double[16];
        private int size;
        private boolean sorted;
        private double worst = Double.NEGATIVE_INFINITY;
        private long worstSeed;

        private void add(double value, long seed) {
            if (value > worst || value == worst && seed < worstSeed) {
                worst = value;
                worstSeed = seed;
            }
            if (size == values.length) {
                values = Arrays.copyOf(values, size * 2);
            }
            values[size++] = value;
            sorted = false;
        }

        /** The quantile for a share; 1 gives the maximum. */
        public double quantile(double share) {
            if (!sorted) {
                Arrays.sort(values, 0, size);
                sorted = true;
            }
            return values[(int) Math.min(size - 1L, (long) (share * size))];
        }

        /** The seed of a schedule that gave the maximum. */
        public long worstSeed() {
            return worstSeed;
        }

        /** The number of measurements. */
        public int size() {
            return size;
        }
    }

    private final Map<Long, List<String>> violations = new TreeMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, Samples> samples = new TreeMap<>();

    /**
     * Plays consecutive seeds.
     *
     * @param threads the number of worker threads
     * @param play plays one schedule
     * @throws InterruptedException if interrupted
     */
    public static ScheduleRunner run(long first, long schedules, int threads, LongFunction<Outcome> play)
            throws InterruptedException {
        ScheduleRunner hunt = new ScheduleRunner();
        AtomicLong next = new AtomicLong(first);
        List<Thread> workers = new ArrayList<>();
        List<Throwable> failed = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            Thread t = new Thread(
                    () -> {
                        for (long seed = next.getAndIncrement();
                                seed < first + schedules;
                                seed = next.getAndIncrement()) {
                            hunt.add(seed, play.apply(seed));
                        }
                    },
                    "hunter-" + i);
            t.setUncaughtExceptionHandler((thread, e) -> {
                synchronized (failed) {
                    failed.add(e);
                }
            });
            t.start();
            workers.add(t);
        }
        for (Thread t : workers) {
            t.join();
        }
        if (!failed.isEmpty()) {
            throw new IllegalStateException("a schedule could not be played", failed.get(0));
        }
        return hunt;
    }

    private synchronized void add(long seed, Outcome o) {
        if (!o.broken().isEmpty()) {
            violations.put(seed, o.broken());
        }
        o.counts().forEach((k, v) -> counts.merge(k, v, Integer::sum));
        o.samples()
                .forEach((k, v) -> v.forEach(
                        x -> samples.computeIfAbsent(k, n -> new Samples()).add(x, seed)));
    }

    /** Violated guarantees by seed. */
    public Map<Long, List<String>> violations() {
        return violations;
    }

    /** Counted occurrences. */
    public Map<String, Integer> counts() {
        return counts;
    }

    /** Measurements by name. */
    public Map<String, Samples> samples() {
        return samples;
    }
}
