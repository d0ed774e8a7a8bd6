package whinlead.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import whinlead.plan.Bounds;
import whinlead.plan.Fleet;
import whinlead.plan.Interval;
import whinlead.plan.Load;
import whinlead.plan.Solver;
import whinlead.plan.tool.Description;

/** {@code rehearse plan}: what the planner says beside what sidecars and stand-in fronts do, by scenario. */
@Command(
        name = "plan",
        description = "The planner's answers beside real sidecars before stand-in fronts that "
                + "follow the same description.")
final class PlanRehearsal implements Callable<Integer> {
    /** As the users ask it: the mean over scenarios, and none further, in shares of the worth. */
    private static final double MAX_MEAN = 0.03;

    private static final double MAX_EACH = 0.06;
    /** What the solver is asked, and its bounds. */
    private static final double GOAL = 0.97;

    private static final int MAX_FRONTS = 20;
    private static final int SEEDS = 6;
    private static final int MAX_RUNS = 500;
    private static final String DESCRIPTION = "/whinlead/plan/rehearsal.json";

    @Option(names = "--scenario", description = "Only those whose name holds this.")
    private String only = "";

    @Option(names = "--seed", description = "The first of three seeds.")
    private long seed = 1;

    @Option(names = "--at-once", description = "Seeds played at once, each with sidecars and a loop of its own.")
    private int atOnce = 3;

    private record Scenario(String name, PlanDay day) {}

    /** A scenario by its load as a part of the capacity, its share of polls, bursts, changes and clients. */
    private static Scenario scenario(
            Description d,
            String name,
            double part,
            double polls,
            List<Load.Burst> bursts,
            List<Fleet.Change> changes,
            Habit habit) {
        Load mixed = new Load(1, List.of(polls, 1 - polls), List.of(), d.load().lengthMs());
        double one = Bounds.utilisation(d.fleet(), mixed);
        return new Scenario(
                name,
                new PlanDay(
                        d.fleet().changes(changes),
                        new Load(part / one, mixed.mix(), bursts, mixed.lengthMs()),
                        habit));
    }

    private static List<Scenario> all(Description d) {
        Fleet.Change slowed = new Fleet.Change(Fleet.ChangeKind.SLOWED, null, 0.25, 0.4, 3000, 12_000, 0);
        Fleet.Change died = new Fleet.Change(Fleet.ChangeKind.ZONE_DIED, "b", 1, 1, 3000, 60_000, 1000);
        Fleet.Change back = new Fleet.Change(Fleet.ChangeKind.ZONE_DIED, "b", 1, 1, 2500, 4500, 700);
        return List.of(
                scenario(d, "calm", 0.5, 0.8, List.of(), List.of(), Habit.NONE),
                scenario(d, "burst", 0.5, 0.8, List.of(new Load.Burst(4000, 6000, 3)), List.of(), Habit.NONE),
                scenario(d, "overload 1.3", 1.3, 0.8, List.of(), List.of(), Habit.NONE),
                scenario(d, "overload 2", 2, 0.8, List.of(), List.of(), Habit.NONE),
                scenario(d, "quarter slowed", 0.8, 0.8, List.of(), List.of(slowed), Habit.NONE),
                scenario(d, "mostly polls, with retries", 1.1, 0.95, List.of(), List.of(), Habit.RETRY_AFTER),
                scenario(d, "zone lost", 0.8, 0.8, List.of(), List.of(died), Habit.BACK_OFF),
                scenario(d, "cold return", 0.85, 0.8, List.of(), List.of(back), Habit.NONE));
    }

    @Override
    public Integer call() throws IOException {
        Promises promises = new Promises(System.out);
        Description d = Description.of(DESCRIPTION);
        double sum = 0;
        int played = 0;
        for (Scenario s : all(d)) {
            if (!s.name().contains(only)) {
                continue;
            }
            PlanDay.Result said = mean(s.day()::predict);
            PlanDay.Result done = mean(s.day()::measure);
            double off = Math.abs(said.worth() - done.worth());
            promises.figure(s.name() + ", worth served, predicted", said.worth());
            promises.figure(s.name() + ", worth served, measured", done.worth());
            promises.figure(s.name() + ", refused share, predicted", said.refused());
            promises.figure(s.name() + ", refused share, measured", done.refused());
            promises.figure(s.name() + ", late share, predicted", said.late());
            promises.figure(s.name() + ", late share, measured", done.late());
            promises.under(s.name() + ", worth served, apart", off, MAX_EACH);
            sum += off;
            played++;
        }
        if (played > 0) {
            promises.under("worth served, apart, mean of " + played + " scenarios", sum / played, MAX_MEAN);
        }
        if ("solver".contains(only)) {
            solver(promises, d);
        }
        return promises.kept() ? 0 : 1;
    }

    // The number that the solver finds, and one fewer, on sockets.
    private void solver(Promises promises, Description d) throws IOException {
        Solver.Result found = new Solver(
                        (n, seeds) -> LongStream.of(seeds)
                                .parallel()
                                .mapToDouble(s -> solved(d, n).predict(s).worth())
                                .toArray(),
                        GOAL,
                        new Solver.SearchBounds(2, MAX_FRONTS, SEEDS, 4 * SEEDS, MAX_RUNS, 1))
                .solve();
        promises.figure("solver, fronts for " + GOAL + " of the worth", found.fronts());
        for (int n : new int[] {found.fronts(), found.fronts() - 1}) {
            PlanDay day = solved(d, n);
            Interval done = Interval.of(runs(day::measure, SEEDS).stream()
                    .mapToDouble(PlanDay.Result::worth)
                    .toArray());
            promises.figure(
                    "solver, " + n + " fronts, predicted",
                    found.points().get(n).service().mean());
            promises.figure("solver, " + n + " fronts, measured", done.mean());
            promises.figure("solver, " + n + " fronts, half of the interval measured", done.half());
            // The whole interval on the other side would say that the answer is wrong.
            if (n == found.fronts()) {
                promises.over("solver, " + n + " fronts, highest of the interval", done.mean() + done.half(), GOAL);
            } else {
                promises.under("solver, " + n + " fronts, lowest of the interval", done.mean() - done.half(), GOAL);
            }
        }
    }

    private static PlanDay solved(Description d, int fronts) {
        return new PlanDay(d.fleet().fronts(fronts), d.load(), Habit.NONE);
    }

    private interface Play {
        PlanDay.Result with(long seed) throws IOException;
    }

    private PlanDay.Result mean(Play play) throws IOException {
        List<PlanDay.Result> all = runs(play, 3);
        return new PlanDay.Result(
                all.stream().mapToDouble(PlanDay.Result::worth).average().orElseThrow(),
                all.stream().mapToDouble(PlanDay.Result::refused).average().orElseThrow(),
                all.stream().mapToDouble(PlanDay.Result::late).average().orElseThrow());
    }

    private List<PlanDay.Result> runs(Play play, int count) throws IOException {
        ExecutorService threads = Executors.newFixedThreadPool(Math.max(1, atOnce));
        try {
            List<Future<PlanDay.Result>> running = new ArrayList<>();
            for (long s = seed; s < seed + count; s++) {
                long each = s;
                running.add(threads.submit(() -> play.with(each)));
            }
            List<PlanDay.Result> results = new ArrayList<>();
            for (Future<PlanDay.Result> f : running) {
                results.add(f.get());
            }
            return results;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause().getMessage(), e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }
}
