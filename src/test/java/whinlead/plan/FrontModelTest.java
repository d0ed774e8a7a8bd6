package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the queueing model with closed forms and checks its invariants under random events. */
class FrontModelTest {
    private static final double MEAN_WORK_MS = 10;
    /**
     * Number of batches per run for the interval; the quantile is Student's at 0.999, two-sided, for 19 degrees of
     * freedom.
     */
    private static final int BATCHES = 20;

    private static final double QUANTILE = 3.883;

    private static final class Job implements Consumer<FrontModel.End> {
        private final Calendar calendar;
        private final double arrivedAtMs;
        private int endCount;
        private FrontModel.End end;
        private double timeMs;

        private Job(Calendar calendar) {
            this.calendar = calendar;
            this.arrivedAtMs = calendar.nowMs();
        }

        @Override
        public void accept(FrontModel.End how) {
            endCount++;
            end = how;
            timeMs = calendar.nowMs() - arrivedAtMs;
        }
    }

    private static List<Job> playPoisson(
            FrontModel front, Calendar calendar, Distribution law, double perMs, int count, long seed) {
        Random random = new Random(seed);
        List<Job> jobs = new ArrayList<>();
        double atMs = 0;
        for (int i = 0; i < count; i++) {
            atMs += -Math.log(1 - random.nextDouble()) / perMs;
            double work = law.draw(random);
            calendar.scheduleAt(atMs, () -> {
                Job job = new Job(calendar);
                jobs.add(job);
                front.arrive(work, job);
            });
        }
        calendar.runUntil(atMs + 1e7);
        return jobs;
    }

    /**
     * Checks that the closed form lies in the interval of the batch means (Law and Kelton, Simulation Modeling, 9.5.3).
     */
    private static void assertWithinInterval(double expected, List<Double> samples) {
        List<Double> means = new ArrayList<>();
        int size = samples.size() / BATCHES;
        for (int b = 0; b < BATCHES; b++) {
            means.add(samples.subList(b * size, (b + 1) * size).stream()
                    .mapToDouble(d -> d)
                    .average()
                    .orElseThrow());
        }
        double mean = means.stream().mapToDouble(d -> d).average().orElseThrow();
        double variance =
                means.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum() / (BATCHES - 1);
        double halfWidth = QUANTILE * Math.sqrt(variance / BATCHES);
        assertTrue(
                Math.abs(mean - expected) <= halfWidth,
                "mean " + mean + " +- " + halfWidth + ", in closed form " + expected);
        assertTrue(halfWidth < 0.2 * expected, "interval is too wide for a useful comparison: " + halfWidth);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "4, 0.8", "16, 0.9"})
    void firstComeFirstServedTimesAgreeWithErlangC(int cores, double load) {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, cores, false, Integer.MAX_VALUE, FrontModel.Thrash.NONE);
        double perMs = load * cores / MEAN_WORK_MS;
        List<Job> jobs = playPoisson(front, calendar, new Distribution(MEAN_WORK_MS, 1), perMs, 200_000, 7);
        List<Job> settled = jobs.subList(20_000, jobs.size());
        assertWithinInterval(
                Formulas.meanTime(perMs, MEAN_WORK_MS, cores),
                settled.stream().map(j -> j.timeMs).toList());
        assertWithinInterval(
                Formulas.probabilityOfTimeOver(2 * MEAN_WORK_MS, perMs, MEAN_WORK_MS, cores),
                settled.stream()
                        .map(j -> j.timeMs > 2 * MEAN_WORK_MS ? 1.0 : 0.0)
                        .toList());
    }

    @ParameterizedTest
    @CsvSource({"0, 0.7", "0.5, 0.7", "1, 0.7", "2, 0.5"})
    void meanTimeUnderProcessorSharingDependsOnMeanWorkOnly(double cv, double load) {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, 1, true, Integer.MAX_VALUE, FrontModel.Thrash.NONE);
        double perMs = load / MEAN_WORK_MS;
        List<Job> jobs = playPoisson(front, calendar, new Distribution(MEAN_WORK_MS, cv), perMs, 200_000, 11);
        assertWithinInterval(
                Formulas.meanSharedTime(perMs, MEAN_WORK_MS),
                jobs.subList(20_000, jobs.size()).stream().map(j -> j.timeMs).toList());
    }

    @Test
    void rejectedShareUnderOverloadAgreesWithFiniteQueueFormula() {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, 2, false, 8, FrontModel.Thrash.NONE);
        List<Job> jobs =
                playPoisson(front, calendar, new Distribution(MEAN_WORK_MS, 1), 2 * 2 / MEAN_WORK_MS, 100_000, 3);
        double full = jobs.stream().filter(j -> j.end == FrontModel.End.FULL).count() / (double) jobs.size();
        // M/M/2/8 at twice the capacity: the probability of n visits grows as r^n with r = 2 from two on; takes the
        // last.
        double sum = 1 + 4;
        double last = 4;
        for (int n = 2; n <= 8; n++) {
            last *= 2;
            sum += last;
        }
        assertEquals(last / sum, full, 0.01);
    }

    @Test
    void thrashingFrontStaysSlowUntilNearlyEmpty() {
        for (FrontModel.Thrash thrash : List.of(FrontModel.Thrash.NONE, new FrontModel.Thrash(20, 0.5, 5))) {
            Calendar calendar = new Calendar();
            FrontModel front = new FrontModel(calendar, 1, false, 100, thrash);
            Random random = new Random(1);
            List<Job> late = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                front.arrive(MEAN_WORK_MS, new Job(calendar));
            }
            // Load of 0.7 of the normal capacity, above the 0.5 that is left while thrashing.
            for (double atMs = 0; atMs < 20_000; atMs += -Math.log(1 - random.nextDouble()) * MEAN_WORK_MS / 0.7) {
                calendar.scheduleAt(atMs, () -> {
                    Job j = new Job(calendar);
                    late.add(j);
                    front.arrive(MEAN_WORK_MS, j);
                });
            }
            calendar.runUntil(20_000);
            boolean recovered = front.visitCount() < 20;
            assertEquals(
                    thrash == FrontModel.Thrash.NONE,
                    recovered,
                    "front recovers only without thrashing; visits: " + front.visitCount());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void eachVisitEndsOnceAndWorkDoneStaysWithinCapacity(long seed) {
        Random random = new Random(seed);
        Calendar calendar = new Calendar();
        int cores = 1 + random.nextInt(4);
        boolean sharing = random.nextBoolean();
        int room = 1 + random.nextInt(20);
        FrontModel front = new FrontModel(
                calendar, cores, sharing, room, new FrontModel.Thrash(random.nextInt(20), 0.5, random.nextInt(5)));
        List<Job> jobs = new ArrayList<>();
        List<FrontModel.Visit> visits = new ArrayList<>();
        List<Job> withdrawn = new ArrayList<>();
        double capacity = 0;
        double speed = 1;
        for (int i = 0; i < 5000; i++) {
            double before = calendar.nowMs();
            calendar.runUntil(before + random.nextDouble() * 4);
            capacity += (calendar.nowMs() - before) * cores * speed;
            assertTrue(front.workDone() <= capacity + 1e-6, "work done, at most " + capacity);
            assertTrue(front.coreTime() <= calendar.nowMs() * cores + 1e-6);
            assertTrue(front.visitCount() <= room);
            switch (random.nextInt(12)) {
                case 0 -> {
                    int k = random.nextInt(Math.max(1, visits.size()));
                    if (!visits.isEmpty()) {
                        boolean gone = jobs.get(k).endCount > 0 || withdrawn.contains(jobs.get(k));
                        front.withdraw(visits.get(k));
                        if (!gone) {
                            withdrawn.add(jobs.get(k));
                        }
                    }
                }
                case 1 -> {
                    speed = random.nextInt(4) == 0 ? 0 : 2 * random.nextDouble();
                    front.speed(speed);
                }
                case 2 -> {
                    if (random.nextInt(20) == 0) {
                        front.loseAll();
                    }
                }
                default -> {
                    Job j = new Job(calendar);
                    jobs.add(j);
                    visits.add(front.arrive(random.nextDouble() * 20, j));
                }
            }
        }
        front.speed(1);
        calendar.runUntil(calendar.nowMs() + 1e6);
        assertEquals(0, front.visitCount());
        for (Job j : jobs) {
            assertEquals(withdrawn.contains(j) ? 0 : 1, j.endCount, "each visit ends once, or not at all if withdrawn");
        }
    }
}
