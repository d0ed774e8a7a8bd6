package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/** Plays many schedules and sums up what they came to. For one thread; it starts and ends others. */
public final class Hunt {
    /** What was measured, all schedules together. */
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

        /** The value that such a share lies under; 1 is the greatest. */
        public double part(double share) {
            if (!sorted) {
                Arrays.sort(values, 0, size);
                sorted = true;
            }
            return values[(int) Math.min(size - 1L, (long) (share * size))];
        }

        /** A schedule that gave the greatest. */
        public long worstSeed() {
            return worstSeed;
        }

        /** How many there are. */
        public int size() {
            return size;
        }
    }

    private final Map<Long, List<String>> broken = new TreeMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, Samples> samples = new TreeMap<>();

    /**
     * Plays these seeds.
     *
     * @param threads so many at a time
     * @param play one schedule
     * @throws InterruptedException if interrupted
     */
    public static Hunt of(long first, long schedules, int threads, LongFunction<Outcome> play)
            throws InterruptedException {
        Hunt hunt = new Hunt();
        AtomicLong next = new AtomicLong(first);
        List<Thread> hunters = new ArrayList<>();
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
            hunters.add(t);
        }
        for (Thread t : hunters) {
            t.join();
        }
        if (!failed.isEmpty()) {
            throw new IllegalStateException("a schedule could not be played", failed.get(0));
        }
        return hunt;
    }

    private synchronized void add(long seed, Outcome o) {
        if (!o.broken().isEmpty()) {
            broken.put(seed, o.broken());
        }
        o.counts().forEach((k, v) -> counts.merge(k, v, Integer::sum));
        o.samples()
                .forEach((k, v) -> v.forEach(
                        x -> samples.computeIfAbsent(k, n -> new Samples()).add(x, seed)));
    }

    /** By seed, what was broken. */
    public Map<Long, List<String>> broken() {
        return broken;
    }

    /** What came up, and how often. */
    public Map<String, Integer> counts() {
        return counts;
    }

    /** What was measured. */
    public Map<String, Samples> samples() {
        return samples;
    }
}
