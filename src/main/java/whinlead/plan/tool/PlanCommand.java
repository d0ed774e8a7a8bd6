package whinlead.plan.tool;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import whinlead.plan.Bounds;
import whinlead.plan.Fleet;
import whinlead.plan.Interval;
import whinlead.plan.Limit;
import whinlead.plan.Load;
import whinlead.plan.Outcome;
import whinlead.plan.Recovery;
import whinlead.plan.Solver;

/** The planner's command line; see {@code docs/planner.md}. */
@Command(
        name = "plan",
        description = "Predicts the behaviour of a deployment before a release.",
        mixinStandardHelpOptions = true,
        subcommands = {PlanCommand.Ask.class, PlanCommand.Solve.class, PlanCommand.Compare.class})
public final class PlanCommand {
    private static final int EXIT_FAILURE = 1;

    private PlanCommand() {}

    /** Runs the command. Exit code: 0 for a result, 1 for bad input or a goal that is not met, 2 for bad usage. */
    public static int run(String... args) {
        return run(new PlanCommand(), args);
    }

    /** Runs a command with the planner's exit codes; bad input is reported in one line. */
    public static int run(Object command, String... args) {
        // Suppresses SLF4J's messages about itself in the output.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        return new CommandLine(command)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    if (!(e instanceof IllegalArgumentException) && !(e instanceof IOException)) {
                        throw e;
                    }
                    line.getErr()
                            .println(line.getCommandName() + ": "
                                    + (e instanceof NoSuchFileException
                                            ? e.getMessage() + ": no such file"
                                            : e.getMessage()));
                    return EXIT_FAILURE;
                })
                .execute(args);
    }

    /** Options common to all subcommands. */
    static final class Common {
        @Parameters(index = "0", paramLabel = "FLEET", description = "The description; see deploy/fleet.json.")
        private Path file;

        @Option(names = "--seeds", description = "Runs for each figure (${DEFAULT-VALUE}).")
        private int seeds = 8;

        @Option(names = "--threads", description = "Number of threads; results do not depend on it.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--times", description = "Multiple of the described load.")
        private double times = 1;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the report as JSON.")
        private Path json;

        @Option(names = "--html", paramLabel = "FILE", description = "Writes the report as an HTML page with plots.")
        private Path html;

        private Description description() {
            if (seeds < 2 || seeds > 1000 || threads < 1 || !(times > 0)) {
                throw new IllegalArgumentException("--seeds must be 2 to 1000, --threads and --times" + " over 0");
            }
            Description d = Description.read(file);
            return new Description(d.fleet(), d.load().scaled(times));
        }

        private long[] seeds() {
            long[] all = new long[seeds];
            for (int i = 0; i < seeds; i++) {
                all[i] = i + 1L;
            }
            return all;
        }

        private void write(Report answer) throws IOException {
            answer.print(System.out);
            if (json != null) {
                answer.json(json);
            }
            if (html != null) {
                answer.html(html);
            }
        }
    }

    private static Interval ci(List<Outcome> outcomes, ToDoubleFunction<Outcome> figure) {
        return Interval.of(outcomes.stream().mapToDouble(figure).toArray());
    }

    private static double[] meanBySecond(List<Outcome> outcomes, double lengthMs) {
        double[] mean = new double[(int) Math.ceil(lengthMs / 1000)];
        for (int i = 0; i < mean.length; i++) {
            double sum = 0;
            int count = 0;
            for (Outcome o : outcomes) {
                if (i < o.worthBySecond().length && !Double.isNaN(o.worthBySecond()[i])) {
                    sum += o.worthBySecond()[i];
                    count++;
                }
            }
            mean[i] = count == 0 ? Double.NaN : sum / count;
        }
        return mean;
    }

    private static void addService(Report report, String prefix, List<Outcome> runs) {
        report.figure(prefix + "worth served", ci(runs, Outcome::worth));
        report.figure(prefix + "refused share", ci(runs, Outcome::refusedShare));
        report.figure(prefix + "late share", ci(runs, Outcome::lateShare));
        report.figure(prefix + "failed share", ci(runs, o -> o.offered() == 0 ? 0 : (double) o.failed() / o.offered()));
        report.figure(prefix + "tries a request", ci(runs, o -> 1 + o.usage().repeats()));
        for (Limit l : Limit.values()) {
            report.figure(prefix + "use of " + l.name().toLowerCase(Locale.ROOT), ci(runs, l::reading));
        }
    }

    /** Predicts the service of a load and which limit binds first. */
    @Command(
            name = "ask",
            mixinStandardHelpOptions = true,
            description = "Service under the load, which limit binds first, and whether service recovers.")
    static final class Ask implements Callable<Integer> {
        /** Tolerance for exceeding the bound: the simulated load is drawn at random, the bound uses means. */
        private static final double BOUND_TOLERANCE = 0.02;
        /** Below the bound by more than this, service is limited by more than the cores. */
        private static final double NOTABLE_GAP = 0.1;

        private static final long[] RAMP_SEEDS = {1, 2, 3};

        @CommandLine.Mixin
        private Common common;

        @Option(names = "--load", paramLabel = "CAPTURE", description = "Captured load, replaces the described one.")
        private Path capture;

        @Option(names = "--ramp-most", description = "Highest load of the ramp, as a multiple.")
        private double most = 3;

        @Option(names = "--ramp-step", description = "Factor between successive loads of the ramp.")
        private double step = 1.1;

        @Override
        public Integer call() throws IOException {
            Description plan = common.description();
            if (!(step > 1) || !(most > 0)) {
                throw new IllegalArgumentException("--ramp-step has to be over 1 and --ramp-most over 0");
            }
            Report report = new Report("What the load comes to", common.file, common.seeds());
            try (Runner runner = new Runner(common.threads)) {
                if (capture != null) {
                    answerCapture(report, plan.fleet(), runner);
                    common.write(report);
                    return 0;
                }
                List<Outcome> outcomes = runner.run(plan.fleet(), plan.load()::arrivals, common.seeds());
                addService(report, "", outcomes);
                addBound(report, plan, ci(outcomes, Outcome::worth));
                report.plot(
                        "Worth served by the second asked in",
                        meanBySecond(outcomes, plan.load().lengthMs()));
                for (Fleet.Change c : plan.fleet().changes()) {
                    addRecovery(
                            report,
                            c.kind() == Fleet.ChangeKind.SLOWED ? "slowed fronts" : "zone " + c.zone(),
                            outcomes,
                            c.from(),
                            c.to());
                }
                for (Load.Burst b : plan.load().bursts()) {
                    addRecovery(report, "a burst", outcomes, b.from(), b.to());
                }
                // The ramp uses the steady load, without changes and bursts.
                Load steady = new Load(
                        plan.load().perSecond(),
                        plan.load().mix(),
                        List.of(),
                        plan.load().lengthMs());
                addRamp(report, plan.fleet(), (f, t) -> runner.run(f, steady.scaled(t)::arrivals, RAMP_SEEDS));
            }
            common.write(report);
            return 0;
        }

        // Service of a captured load, and its limits; the ramp speeds up its time instead of raising a rate.
        private void answerCapture(Report report, Fleet fleet, Runner runner) throws IOException {
            CaptureLoad load = new CaptureLoad(capture, fleet);
            List<Outcome> outcomes = runner.run(fleet, seed -> load.arrivals(common.times), common.seeds());
            report.figure("requests in the capture", load.summary().requests());
            addService(report, "", outcomes);
            report.plot("Worth served by the second asked in", meanBySecond(outcomes, load.lengthMs(common.times)));
            load.caveats(common.times).forEach(report::note);
            addRamp(report, fleet, (f, t) -> runner.run(f, seed -> load.arrivals(common.times * t), RAMP_SEEDS));
        }

        private static void addBound(Report report, Description plan, Interval worth) {
            double maxWorthShare = Bounds.maxWorthShare(plan.fleet(), plan.load());
            report.figure("utilisation outside bursts, in closed form", Bounds.utilisation(plan.fleet(), plan.load()));
            report.figure("worth served at most, in closed form", maxWorthShare);
            if (worth.mean() > maxWorthShare + BOUND_TOLERANCE) {
                report.note("The simulation passes the closed form: one of the two is wrong.");
            } else if (worth.mean() < maxWorthShare - NOTABLE_GAP) {
                report.note("The simulation lies far under the closed form: more than the cores costs service.");
            }
        }

        private static void addRecovery(Report report, String cause, List<Outcome> runs, double beginMs, double endMs) {
            if (beginMs < 1000) {
                return;
            }
            List<Recovery> each = runs.stream()
                    .map(o -> Recovery.of(o.worthBySecond(), beginMs, endMs))
                    .toList();
            long stuck =
                    each.stream().filter(r -> Double.isInfinite(r.seconds())).count();
            report.figure(
                    "worst second after " + cause,
                    Interval.of(each.stream().mapToDouble(Recovery::worstShare).toArray()));
            report.figure("runs that do not come back from " + cause, stuck);
            if (stuck < each.size()) {
                report.figure(
                        "seconds until back from " + cause + ", of those that do",
                        Interval.of(each.stream()
                                .mapToDouble(Recovery::seconds)
                                .filter(Double::isFinite)
                                .toArray()));
            }
        }

        private void addRamp(Report report, Fleet fleet, Limit.Trial trial) {
            List<Limit.BindingLimit> all = Limit.ramp(fleet.changes(List.of()), trial, Math.min(0.3, most), step, most);
            if (all.isEmpty()) {
                report.note(String.format(Locale.ROOT, "No limit binds up to %.2f times the load.", most));
            }
            for (int i = 0; i < all.size(); i++) {
                Limit.BindingLimit limit = all.get(i);
                report.note(String.format(
                        Locale.ROOT,
                        "Limit %d: %s, at %.2f times the load%s",
                        i + 1,
                        limit.limit().name().toLowerCase(Locale.ROOT),
                        limit.loadFactor(),
                        i == 0 ? "" : String.format(Locale.ROOT, ", %.0f%% behind", 100 * limit.relativeGap())));
            }
        }
    }

    /** Finds how many fronts a goal needs. */
    @Command(
            name = "solve",
            mixinStandardHelpOptions = true,
            description = "The least number of fronts that meets a goal.")
    static final class Solve implements Callable<Integer> {
        /** First factor of the ramp: far below 1, because where several limits bind, the first is the cause. */
        private static final double LOWEST_LOAD_FACTOR = 0.05;

        @CommandLine.Mixin
        private Common common;

        @Option(names = "--goal", required = true, description = "Share of the worth that has to be served.")
        private double goal;

        @Option(names = "--least", description = "The fewest fronts to try.")
        private int least = 1;

        @Option(names = "--most", description = "The most fronts to try.")
        private int most = 200;

        @Option(names = "--runs", description = "Limit on the total number of runs.")
        private int runs = 2000;

        @Option(names = "--lost-zone", description = "Loses this zone after a quarter of the load's duration.")
        private String zone;

        @Override
        public Integer call() throws IOException {
            Description plan = common.description();
            if (!(goal > 0 && goal <= 1)) {
                throw new IllegalArgumentException("--goal: " + goal + " is not a share over 0 and up to 1");
            }
            Fleet fleet = zone == null ? plan.fleet() : withLostZone(plan);
            fleet.check();
            Report report = new Report("How many fronts serve " + goal + " of the worth", common.file, common.seeds());
            Solver.Result found;
            try (Runner runner = new Runner(common.threads)) {
                found = new Solver(
                                (n, seeds) -> runner.run(fleet.fronts(n), plan.load()::arrivals, seeds).stream()
                                        .mapToDouble(Outcome::worth)
                                        .toArray(),
                                goal,
                                new Solver.SearchBounds(least, most, common.seeds, 4 * common.seeds, runs, 1))
                        .solve();
                for (Map.Entry<Integer, Solver.Point> point : found.points().entrySet()) {
                    report.figure(
                            point.getKey() + " fronts, "
                                    + point.getValue().verdict().name().toLowerCase(Locale.ROOT),
                            point.getValue().service());
                }
                addConclusion(report, found, fleet, plan.load(), runner);
            }
            common.write(report);
            return found.fronts() > 0 ? 0 : EXIT_FAILURE;
        }

        private Fleet withLostZone(Description plan) {
            List<Fleet.Change> changes = new ArrayList<>(plan.fleet().changes());
            changes.add(new Fleet.Change(
                    Fleet.ChangeKind.ZONE_LOST,
                    zone,
                    1,
                    1,
                    plan.load().lengthMs() / 4,
                    plan.load().lengthMs() * 2,
                    2000));
            return plan.fleet().changes(changes);
        }

        private void addConclusion(Report report, Solver.Result found, Fleet fleet, Load load, Runner runner) {
            if (found.fronts() == 0) {
                List<Limit.BindingLimit> limits = Limit.ramp(
                        fleet.fronts(most),
                        (f, t) -> runner.run(f, load.scaled(t)::arrivals, new long[] {1, 2}),
                        LOWEST_LOAD_FACTOR,
                        1.1,
                        1);
                report.note(
                        found.outOfRuns()
                                ? "The runs were spent before an answer was found."
                                : "No number up to " + most + " meets it; in the way: "
                                        + (limits.isEmpty()
                                                ? "none of the limits by itself"
                                                : limits.get(0).limit().name().toLowerCase(Locale.ROOT))
                                        + ".");
            } else {
                report.note(found.fronts() + " fronts meet it"
                        + (found.certain() ? "." : "; whether one fewer does, these runs can't tell."));
            }
        }
    }

    /** Compares two descriptions. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "The effect of a second description, with the same random load where the two agree.")
    static final class Compare implements Callable<Integer> {
        @CommandLine.Mixin
        private Common common;

        @Parameters(index = "1", paramLabel = "OTHER", description = "The second description.")
        private Path other;

        @Override
        public Integer call() throws IOException {
            Description base = common.description();
            Description changed = Description.read(other);
            Load secondLoad = changed.load().scaled(common.times);
            Report report = new Report("What " + other.getFileName() + " changes", common.file, common.seeds());
            try (Runner runner = new Runner(common.threads)) {
                List<Outcome> first = runner.run(base.fleet(), base.load()::arrivals, common.seeds());
                List<Outcome> second = runner.run(changed.fleet(), secondLoad::arrivals, common.seeds());
                addService(report, "first, ", first);
                addService(report, "second, ", second);
                double[] differences = new double[first.size()];
                for (int i = 0; i < differences.length; i++) {
                    differences[i] = second.get(i).worth() - first.get(i).worth();
                }
                report.figure("worth served, second less first, by pairs", Interval.of(differences));
                report.plot(
                        "First: worth served by second",
                        meanBySecond(first, base.load().lengthMs()));
                report.plot("Second: worth served by second", meanBySecond(second, secondLoad.lengthMs()));
            }
            common.write(report);
            return 0;
        }
    }
}
