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

/** The queueing core against closed forms, and what holds whatever happens. */
class FrontModelTest {
    private static final double MEAN = 10;
    /** Batches of a run for its interval; Student's quantile at 0.999 for 19 degrees of freedom, two-sided. */
    private static final int BATCHES = 20;

    private static final double QUANTILE = 3.883;

    private static final class Job implements Consumer<FrontModel.End> {
        private final Calendar calendar;
        private final double at;
        private int ended;
        private FrontModel.End end;
        private double time;

        private Job(Calendar calendar) {
            this.calendar = calendar;
            this.at = calendar.now();
        }

        @Override
        public void accept(FrontModel.End how) {
            ended++;
            end = how;
            time = calendar.now() - at;
        }
    }

    private static List<Job> poisson(FrontModel front, Calendar calendar, Law law, double perMs, int count, long seed) {
        Random dice = new Random(seed);
        List<Job> jobs = new ArrayList<>();
        double at = 0;
        for (int i = 0; i < count; i++) {
            at += -Math.log(1 - dice.nextDouble()) / perMs;
            double work = law.draw(dice);
            calendar.at(at, () -> {
                Job j = new Job(calendar);
                jobs.add(j);
                front.arrives(work, j);
            });
        }
        calendar.runTo(at + 1e7);
        return jobs;
    }

    /** The closed form lies within the batch means' interval (Law and Kelton, Simulation Modeling, 9.5.3). */
    private static void within(double wanted, List<Double> all) {
        List<Double> means = new ArrayList<>();
        int size = all.size() / BATCHES;
        for (int b = 0; b < BATCHES; b++) {
            means.add(all.subList(b * size, (b + 1) * size).stream()
                    .mapToDouble(d -> d)
                    .average()
                    .orElseThrow());
        }
        double mean = means.stream().mapToDouble(d -> d).average().orElseThrow();
        double variance =
                means.stream().mapToDouble(d -> (d - mean) * (d - mean)).sum() / (BATCHES - 1);
        double half = QUANTILE * Math.sqrt(variance / BATCHES);
        assertTrue(Math.abs(mean - wanted) <= half, "mean " + mean + " +- " + half + ", in closed form " + wanted);
        assertTrue(half < 0.2 * wanted, "an interval that could tell: " + half);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "4, 0.8", "16, 0.9"})
    void exponentialWorkInTurnAgreesWithErlang(int cores, double load) {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, cores, false, Integer.MAX_VALUE, FrontModel.Thrash.NONE);
        double perMs = load * cores / MEAN;
        List<Job> jobs = poisson(front, calendar, new Law(MEAN, 1), perMs, 200_000, 7);
        List<Job> settled = jobs.subList(20_000, jobs.size());
        within(
                Formulas.meanTime(perMs, MEAN, cores),
                settled.stream().map(j -> j.time).toList());
        within(
                Formulas.timeOver(2 * MEAN, perMs, MEAN, cores),
                settled.stream().map(j -> j.time > 2 * MEAN ? 1.0 : 0.0).toList());
    }

    @ParameterizedTest
    @CsvSource({"0, 0.7", "0.5, 0.7", "1, 0.7", "2, 0.5"})
    void sharedWorkTakesAsLongWhateverItsLaw(double cv, double load) {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, 1, true, Integer.MAX_VALUE, FrontModel.Thrash.NONE);
        double perMs = load / MEAN;
        List<Job> jobs = poisson(front, calendar, new Law(MEAN, cv), perMs, 200_000, 11);
        within(
                Formulas.meanSharedTime(perMs, MEAN),
                jobs.subList(20_000, jobs.size()).stream().map(j -> j.time).toList());
    }

    @Test
    void whatCantBeCarriedIsTurnedAwayAndTheCoresAreFull() {
        Calendar calendar = new Calendar();
        FrontModel front = new FrontModel(calendar, 2, false, 8, FrontModel.Thrash.NONE);
        List<Job> jobs = poisson(front, calendar, new Law(MEAN, 1), 2 * 2 / MEAN, 100_000, 3);
        double full = jobs.stream().filter(j -> j.end == FrontModel.End.FULL).count() / (double) jobs.size();
        // M/M/2/8 at twice the capacity: of the chances that n are there, r^n with r = 2 from two on, the
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
    void aFrontThatThrashesStaysSlowUntilItIsNearlyEmpty() {
        for (FrontModel.Thrash t : List.of(FrontModel.Thrash.NONE, new FrontModel.Thrash(20, 0.5, 5))) {
            Calendar calendar = new Calendar();
            FrontModel front = new FrontModel(calendar, 1, false, 100, t);
            Random dice = new Random(1);
            List<Job> late = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                front.arrives(MEAN, new Job(calendar));
            }
            // At 0.7 of the capacity: more than half of it.
            for (double at = 0; at < 20_000; at += -Math.log(1 - dice.nextDouble()) * MEAN / 0.7) {
                calendar.at(at, () -> {
                    Job j = new Job(calendar);
                    late.add(j);
                    front.arrives(MEAN, j);
                });
            }
            calendar.runTo(20_000);
            boolean back = front.held() < 20;
            assertEquals(
                    t == FrontModel.Thrash.NONE, back, "it comes back only where nothing slows it: " + front.held());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void allThatComesEndsOnceAndNoMoreWorkIsDoneThanThereIsCapacity(long seed) {
        Random dice = new Random(seed);
        Calendar calendar = new Calendar();
        int cores = 1 + dice.nextInt(4);
        boolean sharing = dice.nextBoolean();
        int room = 1 + dice.nextInt(20);
        FrontModel front = new FrontModel(
                calendar, cores, sharing, room, new FrontModel.Thrash(dice.nextInt(20), 0.5, dice.nextInt(5)));
        List<Job> jobs = new ArrayList<>();
        List<FrontModel.Visit> visits = new ArrayList<>();
        List<Job> left = new ArrayList<>();
        double capacity = 0;
        double speed = 1;
        for (int i = 0; i < 5000; i++) {
            double before = calendar.now();
            calendar.runTo(before + dice.nextDouble() * 4);
            capacity += (calendar.now() - before) * cores * speed;
            assertTrue(front.workDone() <= capacity + 1e-6, "work done, at most " + capacity);
            assertTrue(front.coreTime() <= calendar.now() * cores + 1e-6);
            assertTrue(front.held() <= room);
            switch (dice.nextInt(12)) {
                case 0 -> {
                    int k = dice.nextInt(Math.max(1, visits.size()));
                    if (!visits.isEmpty()) {
                        boolean gone = jobs.get(k).ended > 0 || left.contains(jobs.get(k));
                        front.leaves(visits.get(k));
                        if (!gone) {
                            left.add(jobs.get(k));
                        }
                    }
                }
                case 1 -> {
                    speed = dice.nextInt(4) == 0 ? 0 : 2 * dice.nextDouble();
                    front.speed(speed);
                }
                case 2 -> {
                    if (dice.nextInt(20) == 0) {
                        front.lose();
                    }
                }
                default -> {
                    Job j = new Job(calendar);
                    jobs.add(j);
                    visits.add(front.arrives(dice.nextDouble() * 20, j));
                }
            }
        }
        front.speed(1);
        calendar.runTo(calendar.now() + 1e6);
        assertEquals(0, front.held());
        for (Job j : jobs) {
            assertEquals(left.contains(j) ? 0 : 1, j.ended, "ends once, or left");
        }
    }
}
