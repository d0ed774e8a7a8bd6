package whinlead.testbed;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.BiFunction;
import java.util.function.LongFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import whinlead.testbed.mesh.hardening.AnswerBug;
import whinlead.testbed.mesh.hardening.AnswerPlay;
import whinlead.testbed.mesh.hardening.Bug;
import whinlead.testbed.mesh.hardening.MembershipPlay;
import whinlead.testbed.mesh.hardening.Outcome;
import whinlead.testbed.mesh.hardening.RelayPlay;
import whinlead.testbed.mesh.hardening.Scenario;
import whinlead.testbed.mesh.hardening.ScheduleRunner;
import whinlead.testbed.mesh.hardening.Trace;

/**
 * {@code rehearse hardening}: the control nodes' consensus under seeded schedules of the users' worst days, by a driven
 * clock. The same seed plays the same schedule, whatever the number of threads.
 */
@Command(
        name = "hardening",
        description = "The control nodes' consensus under seeded schedules: cuts, racing "
                + "operators, losses one after the other, hundreds of changes past a member; whose answer is whose.")
final class HardeningRehearsal implements Callable<Integer> {
    private static final double[] DISTANCES = {500, 1000, 1500, 2000, 2500, 3000, 4000};
    /** Margins are drawn from one in so many schedules, at each distance. */
    private static final int MARGIN = 10;

    private static final int SEEDS_TOLD = 10;
    /** What a planted fault may take to be found, in schedules. */
    private static final int FOUND_WITHIN = 1000;

    private static final int RELAYS = 5;
    private static final int ANSWERS = 7;
    /** Orders under way while changes of voters are measured. */
    private static final int[] UNDER_WAY = {1, 4, 8};

    private static final double TELLS_SOON = 1000;
    private static final double ENDS_SOON = 2500;
    private static final double CONVERGE = 2500;
    private static final double ACK = 5000;
    private static final double SYNC = 4000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--point",
            description = "Only this: 1 a machine cut off, 2 operators' histories, "
                    + "3 losses one after the other, 4 hundreds of changes past a member, "
                    + "5 whose answer, and run how often, 6 pairs of voters that can't reach each other, "
                    + "7 answers in trouble and planned work.")
    private int point;

    @Option(names = "--all", description = "All points.")
    private boolean all;

    @Option(names = "--schedules", description = "Schedules of each.")
    private long schedules = 1000;

    @Option(names = "--seed", description = "Seed of the first; the next ones follow it.")
    private long seed = 1;

    @Option(names = "--threads", description = "Schedules played at a time.")
    private int threads = 3;

    @Option(names = "--bug", description = "A fault to plant, which is to be found: ${COMPLETION-CANDIDATES}.")
    private Bug bug = Bug.NONE;

    @Option(
            names = "--planted",
            description = "Plants each fault of these points, and tells after how many " + "schedules it is found.")
    private boolean planted;

    @Option(
            names = "--without-margins",
            description = "With point 3: does not play it at shorter distances "
                    + "between a machine's return and the next loss.")
    private boolean withoutMargins;

    @Option(
            names = "--membership",
            description = "How long changes of voters take under 1, 4 and 8 orders "
                    + "under way without a pause, in milliseconds and in changes decided meanwhile.")
    private boolean membership;

    @Option(names = "--trace", description = "Tells what the schedule of the seed does, line by line.")
    private boolean trace;

    @Option(
            names = "--distance",
            description =
                    "With point 3 and --trace: between a machine's return and " + "the next loss, in milliseconds.")
    private double distance = SYNC;

    @Override
    public Integer call() throws InterruptedException {
        Promises promises = new Promises(System.out);
        if (membership) {
            membership(promises);
            return promises.kept() ? 0 : 1;
        }
        if (all == point > 0) {
            throw new ParameterException(spec.commandLine(), "one of --all and --point is needed");
        }
        if (all || point == RELAYS) {
            sidecars(promises, RELAYS, RelayPlay.Bug.NONE, RelayPlay::play);
        }
        if (all || point == ANSWERS) {
            sidecars(promises, ANSWERS, AnswerBug.NONE, AnswerPlay::play);
        }
        if (point == RELAYS || point == ANSWERS) {
            return promises.kept() ? 0 : 1;
        }
        List<Scenario> points = all ? List.of(Scenario.values()) : List.of(Scenario.forNumber(point));
        if (trace) {
            Outcome o = points.get(0) == Scenario.SEATS
                    ? Scenario.playSeats(seed, bug, new Trace(System.out), distance)
                    : points.get(0).play(seed, bug, new Trace(System.out));
            System.out.println(o.broken());
            return o.broken().isEmpty() ? 0 : 1;
        }
        for (Scenario p : points) {
            if (planted) {
                Arrays.stream(Bug.values()).filter(b -> b.point() == p.number()).forEach(b -> find(promises, p, b));
            } else if (bug != Bug.NONE) {
                find(promises, p, bug);
            } else {
                play(promises, p);
            }
        }
        return promises.kept() ? 0 : 1;
    }

    // What sidecars do for their clients: plays of their own, with faults of their own.
    private <B extends Enum<B>> void sidecars(
            Promises promises, int number, B none, BiFunction<Long, B, RelayPlay.Outcome> play) {
        String of = "point " + number + ", ";
        if (planted) {
            for (B b : none.getDeclaringClass().getEnumConstants()) {
                if (b != none) {
                    promises.under(
                            "planted in " + of + b + ", found after schedules",
                            foundAfter(s -> play.apply(s, b)),
                            FOUND_WITHIN + 1);
                }
            }
            return;
        }
        Map<String, Long> figures = new TreeMap<>();
        Map<String, Double> longest = new TreeMap<>();
        int broken = 0;
        for (long s = seed; s < seed + schedules; s++) {
            RelayPlay.Outcome o = play.apply(s, none);
            o.figures().forEach((name, value) -> figures.merge(name, value, Long::sum));
            o.longest().forEach((name, value) -> longest.merge(name, value, Math::max));
            if (!o.broken().isEmpty() && broken++ < SEEDS_TOLD) {
                System.out.println("seed " + s + ": " + o.broken().get(0));
            }
        }
        promises.figure(of + "schedules", schedules);
        figures.forEach((name, value) -> promises.figure(of + name, value));
        longest.forEach((name, value) -> promises.figure(of + "longest ms of " + name, value));
        promises.under(of + "schedules with a broken promise", broken, 1);
    }

    private long foundAfter(LongFunction<RelayPlay.Outcome> play) {
        for (long took = 1; took <= FOUND_WITHIN; took++) {
            if (!play.apply(seed + took - 1).broken().isEmpty()) {
                return took;
            }
        }
        return FOUND_WITHIN + 1;
    }

    private void membership(Promises promises) throws InterruptedException {
        for (int underWay : UNDER_WAY) {
            ScheduleRunner hunt = ScheduleRunner.run(
                    seed, schedules, threads, s -> MembershipPlay.play(s, bug, Trace.NONE, underWay));
            hunt.samples()
                    .forEach((name, samples) -> System.out.printf(
                            Locale.ROOT,
                            "| %s | %d | %.0f | %.0f | %d |%n",
                            name,
                            samples.size(),
                            samples.quantile(0.5),
                            samples.quantile(1),
                            samples.worstSeed()));
            tell(hunt);
            promises.under(
                    "membership, " + underWay + " under way, schedules with a broken promise",
                    hunt.violations().size(),
                    1);
        }
    }

    private void find(Promises promises, Scenario p, Bug planted) {
        int took = 0;
        Outcome o;
        do {
            o = p.play(seed + took, planted, Trace.NONE);
            took++;
        } while (o.broken().isEmpty() && took <= FOUND_WITHIN);
        promises.under(
                "planted in point " + p.number() + ": " + planted + ", found after schedules", took, FOUND_WITHIN + 1);
        if (!o.broken().isEmpty()) {
            System.out.println("seed " + (seed + took - 1) + ": " + o.broken().get(0));
        }
    }

    private void play(Promises promises, Scenario p) throws InterruptedException {
        String of = "point " + p.number() + ", ";
        ScheduleRunner hunt = ScheduleRunner.run(seed, schedules, threads, s -> p.play(s, Bug.NONE, Trace.NONE));
        promises.figure(of + "schedules", schedules);
        hunt.counts().forEach((name, value) -> promises.figure(of + name, value));
        hunt.samples().forEach((name, s) -> {
            promises.figure(of + name + ", median of " + s.size(), s.quantile(0.5));
            Double most = most(name);
            if (most == null) {
                promises.figure(of + name + ", worst", s.quantile(1));
            } else {
                promises.under(of + name + ", worst", s.quantile(1), most);
            }
            promises.figure(of + name + ", seed of the worst", s.worstSeed());
        });
        tell(hunt);
        promises.under(of + "schedules with a broken promise", hunt.violations().size(), 1);
        if (p == Scenario.SEATS && !withoutMargins) {
            margins(promises);
        }
    }

    private static Double most(String name) {
        Map<String, Double> bounds = Map.of(
                "a call where there was no majority for 3 s, ms to unclear", TELLS_SOON,
                "a call, ms to UNCLEAR", ENDS_SOON,
                "from the cut's end, ms until the newest is at every control node", CONVERGE,
                "an order, ms from a control node in touch to an acknowledgement", ACK);
        boolean synced = name.startsWith("a member that is back, ms")
                || name.startsWith("a planned replacement, ms from the new");
        return synced ? Double.valueOf(SYNC) : bounds.get(name);
    }

    private static void tell(ScheduleRunner hunt) {
        Map<String, Integer> kinds = new TreeMap<>();
        hunt.violations().values().forEach(b -> kinds.merge(b.get(0).replaceAll("\\d+", "#"), 1, Integer::sum));
        kinds.forEach((what, times) -> System.out.printf(Locale.ROOT, "broken %d times: %s%n", times, what));
        hunt.violations().entrySet().stream()
                .limit(SEEDS_TOLD)
                .forEach(e -> System.out.println("seed " + e.getKey() + ": " + e.getValue()));
    }

    private void margins(Promises promises) throws InterruptedException {
        long each = Math.max(1, schedules / MARGIN);
        for (double d : DISTANCES) {
            ScheduleRunner hunt =
                    ScheduleRunner.run(seed, each, threads, s -> Scenario.playSeats(s, Bug.NONE, Trace.NONE, d));
            long still = hunt.violations().values().stream()
                    .filter(b -> b.get(0).startsWith("stands still"))
                    .count();
            String at = String.format(
                    Locale.ROOT, "point 3, next loss %.1f s after the return, of %d " + "schedules ", d / 1000, each);
            promises.figure(at + "stood still", still);
            promises.figure(at + "broke otherwise", hunt.violations().size() - still);
        }
    }
}
