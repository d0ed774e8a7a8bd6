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
        description = "Answers before a release what a deployment would do.",
        mixinStandardHelpOptions = true,
        subcommands = {PlanCommand.Ask.class, PlanCommand.Solve.class, PlanCommand.Compare.class})
public final class PlanCommand {
    private static final int BAD = 1;

    private PlanCommand() {}

    /** Runs it; the exit code: 0 for an answer, 1 for a bad description or a goal that is not met, 2 for bad usage. */
    public static int run(String... args) {
        return run(new PlanCommand(), args);
    }

    /** Runs a command with the planner's exit codes and its one line for what is bad. */
    public static int run(Object command, String... args) {
        // A library's notes on itself are no part of an answer.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        return new CommandLine(command)
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    if (!(e instanceof IllegalArgumentException) && !(e instanceof IOException)) {
                        throw e;
                    }
                    line.getErr()
                            .println(line.getCommandName() + ": "
                                    + (e instanceof NoSuchFileException
                                            ? e.getMessage() + " is not there"
                                            : e.getMessage()));
                    return BAD;
                })
                .execute(args);
    }

    /** What all of them take. */
    static final class Common {
        @Parameters(index = "0", paramLabel = "FLEET", description = "The description, as deploy/fleet.json.")
        private Path file;

        @Option(names = "--seeds", description = "Runs for each figure (${DEFAULT-VALUE}).")
        private int seeds = 8;

        @Option(names = "--threads", description = "Threads; the answer does not depend on them.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Option(names = "--times", description = "Of the described load.")
        private double times = 1;

        @Option(names = "--json", paramLabel = "FILE", description = "Writes the answer for machines.")
        private Path json;

        @Option(names = "--html", paramLabel = "FILE", description = "Writes the answer as one page with plots.")
        private Path html;

        private Description description() {
            if (seeds < 2 || seeds > 1000 || threads < 1 || !(times > 0)) {
                throw new IllegalArgumentException("two seeds or more, a thread and a load over 0 are" + " wanted");
            }
            Description d = Description.read(file);
            return new Description(d.fleet(), d.load().times(times));
        }

        private long[] seeds() {
            long[] all = new long[seeds];
            for (int i = 0; i < seeds; i++) {
                all[i] = i + 1L;
            }
            return all;
        }

        private void write(Answer answer) throws IOException {
            answer.print(System.out);
            if (json != null) {
                answer.json(json);
            }
            if (html != null) {
                answer.html(html);
            }
        }
    }

    private static Interval of(List<Outcome> outcomes, ToDoubleFunction<Outcome> figure) {
        return Interval.of(outcomes.stream().mapToDouble(figure).toArray());
    }

    private static double[] seconds(List<Outcome> outcomes, double length) {
        double[] mean = new double[(int) Math.ceil(length / 1000)];
        for (int i = 0; i < mean.length; i++) {
            double sum = 0;
            int n = 0;
            for (Outcome o : outcomes) {
                if (i < o.worthBySecond().length && !Double.isNaN(o.worthBySecond()[i])) {
                    sum += o.worthBySecond()[i];
                    n++;
                }
            }
            mean[i] = n == 0 ? Double.NaN : sum / n;
        }
        return mean;
    }

    private static void service(Answer a, String of, List<Outcome> outcomes) {
        a.figure(of + "worth served", of(outcomes, Outcome::worth));
        a.figure(of + "refused share", of(outcomes, Outcome::refusedShare));
        a.figure(of + "late share", of(outcomes, Outcome::lateShare));
        a.figure(of + "failed share", of(outcomes, o -> o.asked() == 0 ? 0 : (double) o.failed() / o.asked()));
        a.figure(of + "tries a request", of(outcomes, o -> 1 + o.use().repeats()));
        for (Limit l : Limit.values()) {
            a.figure(of + "use of " + l.name().toLowerCase(Locale.ROOT), of(outcomes, l::reading));
        }
    }

    /** What a load comes to, and which limit fails first. */
    @Command(
            name = "ask",
            mixinStandardHelpOptions = true,
            description = "What comes of the load, which limit fails first, and whether service comes back.")
    static final class Ask implements Callable<Integer> {
        /** By so much the simulation may pass the bound, for its load is drawn and not a mean. */
        private static final double SLACK = 0.02;
        /** Further under it than this, what costs service is not the cores alone. */
        private static final double APART = 0.1;
        /** Seeds at each load of the ramp. */
        private static final long[] FEW = {1, 2, 3};

        @CommandLine.Mixin
        private Common common;

        @Option(names = "--load", paramLabel = "CAPTURE", description = "A captured load in place of the described.")
        private Path capture;

        @Option(names = "--ramp-most", description = "The highest load of the ramp, by the described one.")
        private double most = 3;

        @Option(names = "--ramp-step", description = "Factor between the loads of the ramp.")
        private double step = 1.1;

        @Override
        public Integer call() throws IOException {
            Description d = common.description();
            if (!(step > 1) || !(most > 0)) {
                throw new IllegalArgumentException("--ramp-step has to be over 1 and --ramp-most over 0");
            }
            Answer a = new Answer("What the load comes to", common.file, common.seeds());
            try (Runner runner = new Runner(common.threads)) {
                if (capture != null) {
                    captured(a, d.fleet(), runner);
                    common.write(a);
                    return 0;
                }
                List<Outcome> all = runner.play(d.fleet(), d.load()::arrivals, common.seeds());
                service(a, "", all);
                bound(a, d, of(all, Outcome::worth));
                a.plot(
                        "Worth served by the second asked in",
                        seconds(all, d.load().length()));
                for (Fleet.Change c : d.fleet().changes()) {
                    recovery(
                            a,
                            c.kind() == Fleet.Kind.SLOWED ? "slowed fronts" : "zone " + c.zone(),
                            all,
                            c.from(),
                            c.to());
                }
                for (Load.Burst b : d.load().bursts()) {
                    recovery(a, "a burst", all, b.from(), b.to());
                }
                // Changes and bursts are other questions: the ramp is of the steady load.
                Load steady = new Load(
                        d.load().perSecond(),
                        d.load().mix(),
                        List.of(),
                        d.load().length());
                ramp(a, d.fleet(), (f, t) -> runner.play(f, steady.times(t)::arrivals, FEW));
            }
            common.write(a);
            return 0;
        }

        // What a capture comes to; and the limits, its time running faster instead of its rate rising.
        private void captured(Answer a, Fleet fleet, Runner runner) throws IOException {
            CaptureLoad load = new CaptureLoad(capture, fleet);
            List<Outcome> all = runner.play(fleet, seed -> load.arrivals(common.times), common.seeds());
            a.figure("requests in the capture", load.summary().requests());
            service(a, "", all);
            a.plot("Worth served by the second asked in", seconds(all, load.length(common.times)));
            load.caveats(common.times).forEach(a::note);
            ramp(a, fleet, (f, t) -> runner.play(f, seed -> load.arrivals(common.times * t), FEW));
        }

        private static void bound(Answer a, Description d, Interval worth) {
            double most = Bounds.worthMost(d.fleet(), d.load());
            a.figure("utilisation outside bursts, in closed form", Bounds.utilisation(d.fleet(), d.load()));
            a.figure("worth served at most, in closed form", most);
            if (worth.mean() > most + SLACK) {
                a.note("The simulation passes the closed form: one of the two is wrong.");
            } else if (worth.mean() < most - APART) {
                a.note("The simulation lies far under the closed form: more than the cores costs service.");
            }
        }

        private static void recovery(Answer a, String from, List<Outcome> all, double begin, double end) {
            if (begin < 1000) {
                return;
            }
            List<Recovery> each = all.stream()
                    .map(o -> Recovery.of(o.worthBySecond(), begin, end))
                    .toList();
            long stuck =
                    each.stream().filter(r -> Double.isInfinite(r.seconds())).count();
            a.figure(
                    "worst second after " + from,
                    Interval.of(each.stream().mapToDouble(Recovery::worst).toArray()));
            a.figure("runs that do not come back from " + from, stuck);
            if (stuck < each.size()) {
                a.figure(
                        "seconds until back from " + from + ", of those that do",
                        Interval.of(each.stream()
                                .mapToDouble(Recovery::seconds)
                                .filter(Double::isFinite)
                                .toArray()));
            }
        }

        private void ramp(Answer a, Fleet fleet, Limit.Trial trial) {
            List<Limit.Bound> found = Limit.ramp(fleet.changes(List.of()), trial, Math.min(0.3, most), step, most);
            if (found.isEmpty()) {
                a.note(String.format(Locale.ROOT, "No limit binds up to %.2f times the load.", most));
            }
            for (int i = 0; i < found.size(); i++) {
                Limit.Bound b = found.get(i);
                a.note(String.format(
                        Locale.ROOT,
                        "Limit %d: %s, at %.2f times the load%s",
                        i + 1,
                        b.limit().name().toLowerCase(Locale.ROOT),
                        b.times(),
                        i == 0 ? "" : String.format(Locale.ROOT, ", %.0f%% behind", 100 * b.behind())));
            }
        }
    }

    /** How many fronts a goal needs. */
    @Command(
            name = "solve",
            mixinStandardHelpOptions = true,
            description = "The least number of fronts that meets a goal.")
    static final class Solve implements Callable<Integer> {
        /** Of the load: from far below, for of several that bind at once the first is the cause. */
        private static final double LOWEST = 0.05;

        @CommandLine.Mixin
        private Common common;

        @Option(names = "--goal", required = true, description = "Share of the worth that is to be served.")
        private double goal;

        @Option(names = "--least", description = "The fewest fronts to try.")
        private int least = 1;

        @Option(names = "--most", description = "The most fronts to try.")
        private int most = 200;

        @Option(names = "--runs", description = "Runs at most in all.")
        private int runs = 2000;

        @Option(names = "--lost-zone", description = "With this zone lost from a quarter of the load on.")
        private String zone;

        @Override
        public Integer call() throws IOException {
            Description d = common.description();
            if (!(goal > 0 && goal <= 1)) {
                throw new IllegalArgumentException("--goal: " + goal + " is no share");
            }
            Fleet fleet = zone == null ? d.fleet() : lost(d);
            fleet.check();
            Answer a = new Answer("How many fronts serve " + goal + " of the worth", common.file, common.seeds());
            Solver.Answer found;
            try (Runner runner = new Runner(common.threads)) {
                found = new Solver(
                                (n, seeds) -> runner.play(fleet.fronts(n), d.load()::arrivals, seeds).stream()
                                        .mapToDouble(Outcome::worth)
                                        .toArray(),
                                goal,
                                new Solver.Bounds(least, most, common.seeds, 4 * common.seeds, runs, 1))
                        .solve();
                for (Map.Entry<Integer, Solver.Point> p : found.points().entrySet()) {
                    a.figure(
                            p.getKey() + " fronts, "
                                    + p.getValue().verdict().name().toLowerCase(Locale.ROOT),
                            p.getValue().service());
                }
                tell(a, found, fleet, d.load(), runner);
            }
            common.write(a);
            return found.fronts() > 0 ? 0 : BAD;
        }

        private Fleet lost(Description d) {
            List<Fleet.Change> more = new ArrayList<>(d.fleet().changes());
            more.add(new Fleet.Change(
                    Fleet.Kind.ZONE_LOST,
                    zone,
                    1,
                    1,
                    d.load().length() / 4,
                    d.load().length() * 2,
                    2000));
            return d.fleet().changes(more);
        }

        private void tell(Answer a, Solver.Answer found, Fleet fleet, Load load, Runner runner) {
            if (found.fronts() == 0) {
                List<Limit.Bound> way = Limit.ramp(
                        fleet.fronts(most),
                        (f, t) -> runner.play(f, load.times(t)::arrivals, new long[] {1, 2}),
                        LOWEST,
                        1.1,
                        1);
                a.note(
                        found.outOfRuns()
                                ? "The runs were spent before an answer was found."
                                : "No number up to " + most + " meets it; in the way: "
                                        + (way.isEmpty()
                                                ? "none of the limits by itself"
                                                : way.get(0).limit().name().toLowerCase(Locale.ROOT))
                                        + ".");
            } else {
                a.note(found.fronts() + " fronts meet it"
                        + (found.certain() ? "." : "; whether one fewer does, these runs can't tell."));
            }
        }
    }

    /** What differs between two descriptions. */
    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "What a second description changes, met by the same drawn load where they agree.")
    static final class Compare implements Callable<Integer> {
        @CommandLine.Mixin
        private Common common;

        @Parameters(index = "1", paramLabel = "OTHER", description = "The second description.")
        private Path other;

        @Override
        public Integer call() throws IOException {
            Description one = common.description();
            Description read = Description.read(other);
            Load load = read.load().times(common.times);
            Answer a = new Answer("What " + other.getFileName() + " changes", common.file, common.seeds());
            try (Runner runner = new Runner(common.threads)) {
                List<Outcome> first = runner.play(one.fleet(), one.load()::arrivals, common.seeds());
                List<Outcome> second = runner.play(read.fleet(), load::arrivals, common.seeds());
                service(a, "first, ", first);
                service(a, "second, ", second);
                double[] apart = new double[first.size()];
                for (int i = 0; i < apart.length; i++) {
                    apart[i] = second.get(i).worth() - first.get(i).worth();
                }
                a.figure("worth served, second less first, by pairs", Interval.of(apart));
                a.plot(
                        "First: worth served by second",
                        seconds(first, one.load().length()));
                a.plot("Second: worth served by second", seconds(second, load.length()));
            }
            common.write(a);
            return 0;
        }
    }
}
