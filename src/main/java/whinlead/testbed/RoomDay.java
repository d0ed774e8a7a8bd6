package whinlead.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import whinlead.Contract;

/**
 * A day on which the endpoints have room for all that is asked, but for the time of a fault: what is refused once
 * things are well again is refused for nothing.
 *
 * @param judged spans in which there is room and in which nearly nothing may be refused, in milliseconds
 * @param fleet makes the endpoints anew, for each run
 */
public record RoomDay(
        String name,
        Contract.Settings settings,
        List<Span> judged,
        double length,
        IntFunction<EndpointScript> fleet,
        int servers,
        List<Load> loads) {
    /** From a time until another. */
    public record Span(double from, double to) {}

    /** What may be refused of the requests of a judged span. */
    public static final double MAX_REFUSED = 0.01;
    /** From the end of a change until nearly nothing is refused any more. */
    public static final double RECOVERED_MS = 5000;
    /**
     * How long after a change more may be refused than that: the bound that {@code docs/recovery.md} derives, of 92
     * periods, which are a tenth of the aim each.
     */
    public static final double BOUND_MS = 92 * Settings.AIM / 10;

    /** What is refused after a change is looked at by slices as long as the decisions' own means: 10 periods. */
    private static final double SLICE_MS = 10 * Settings.AIM / 10;

    private static final int MANY_CORES = 256;
    private static final int LONG_QUEUE = 4096;
    private static final double CHANGE = 8000;
    private static final double FOR_EVER = 1e9;

    /** Plays it with these decisions. */
    public Ledger play(DrivenDay.Policy policy, double jitter, long seed) {
        return new DrivenDay(settings, policy, endpoints(), loads, length, jitter, seed).play();
    }

    /** The endpoints as they are at the beginning of a run. */
    public List<EndpointScript> endpoints() {
        return IntStream.range(0, servers).mapToObj(fleet).toList();
    }

    /** The largest share refused in a judged span. */
    public double refused(Ledger ledger) {
        return judged.stream()
                .mapToDouble(s -> ledger.count(s.from(), s.to()).refusedShare())
                .max()
                .orElse(0);
    }

    /**
     * How long after a change, or after the start, the last slice of time ended of which more was refused than may be
     * of a judged span: the longest of the day, in milliseconds; 0 where there was no such slice.
     */
    public double refusedFor(Ledger ledger) {
        double longest = 0;
        for (Span s : judged) {
            double change = Math.max(0, s.from() - RECOVERED_MS);
            for (double at = change; at < s.to(); at += SLICE_MS) {
                double end = Math.min(at + SLICE_MS, s.to());
                if (ledger.count(at, end).refusedShare() >= MAX_REFUSED) {
                    longest = Math.max(longest, end - change);
                }
            }
        }
        return longest;
    }

    /** All of them. */
    public static List<RoomDay> all() {
        List<RoomDay> days = new ArrayList<>();
        days.add(calm("fast", 3000, ServiceLaw.fixed(0.1)));
        days.add(calm("fast-and-busy", 11_900, ServiceLaw.fixed(0.1)));
        ServiceLaw fast = ServiceLaw.fixed(0.2);
        ServiceLaw sound = ServiceLaw.fixed(5);
        ServiceLaw stuck = sound.until(CHANGE, ServiceLaw.fixed(300));
        days.add(changed("slower-250x", fast.until(CHANGE, ServiceLaw.fixed(50)), 1000, CHANGE));
        days.add(changed("slower-1000x", fast.until(CHANGE, ServiceLaw.fixed(200)), 1000, CHANGE));
        days.add(upDownUp());
        days.add(changed("drift", ServiceLaw.drift(0.2, 200, CHANGE, 60_000), 1000, CHANGE, 60_000));
        for (double share : new double[] {0.02, 0.2, 0.5, 0.9}) {
            days.add(calm("two-modes-" + share, 1000, ServiceLaw.modes(0.2, 80, share)));
        }
        days.add(byClass());
        days.add(servers("servers-differ-100x", 1000, i -> endpoint(i, ServiceLaw.fixed(i == 0 ? 20 : 0.2))));
        days.add(servers("one-slow-for-good", 1000, i -> endpoint(i, i == 0 ? stuck : sound)));
        days.add(servers("one-dead", 1000, i -> i == 0 ? away(i, sound, FOR_EVER) : endpoint(i, sound)));
        for (double seconds : new double[] {1, 3, 30}) {
            days.add(away("away-" + (int) seconds + "s", seconds * 1000, fast, Habit.NONE));
        }
        days.add(away("away-3s-at-50ms", 3000, ServiceLaw.fixed(50), Habit.NONE));
        days.add(away("away-3s-retried-at-once", 3000, ServiceLaw.exponential(20), Habit.AT_ONCE));
        days.add(away("away-3s-backed-off", 3000, ServiceLaw.exponential(20), Habit.BACK_OFF));
        days.add(away("away-3s-retry-after", 3000, ServiceLaw.exponential(20), Habit.RETRY_AFTER));
        days.add(backOneByOneAndCold());
        for (Habit habit : Habit.values()) {
            days.add(startsInOverload(habit));
        }
        days.add(step("step-10-to-3000", 0.2));
        days.add(step("step-10-to-3000-at-50ms", 50));
        days.add(calm("two-a-second", 2, ServiceLaw.exponential(60)));
        days.add(new RoomDay(
                "first-second",
                reads(),
                List.of(new Span(0, 1000)),
                1000,
                i -> endpoint(i, ServiceLaw.exponential(50)),
                4,
                List.of(Load.steady(0, 380, Habit.NONE))));
        return days;
    }

    private static Contract.Settings reads() {
        return Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE));
    }

    private static EndpointScript endpoint(int i, ServiceLaw law) {
        return new EndpointScript("s" + i, MANY_CORES, LONG_QUEUE, law);
    }

    private static EndpointScript away(int i, ServiceLaw law, double back) {
        return endpoint(i, law).with(EndpointScript.Kind.AWAY, CHANGE, back);
    }

    private static RoomDay calm(String name, double perSecond, ServiceLaw law) {
        return new RoomDay(
                name,
                reads(),
                List.of(new Span(RECOVERED_MS, 15_000)),
                15_000,
                i -> endpoint(i, law),
                3,
                List.of(Load.steady(0, perSecond, Habit.NONE)));
    }

    private static RoomDay changed(String name, ServiceLaw law, double perSecond, double... changes) {
        double end = changes[changes.length - 1] + RECOVERED_MS + 10_000;
        List<Span> spans = new ArrayList<>();
        spans.add(new Span(RECOVERED_MS, changes[0]));
        spans.add(new Span(end - 10_000, end));
        return new RoomDay(
                name, reads(), spans, end, i -> endpoint(i, law), 3, List.of(Load.steady(0, perSecond, Habit.NONE)));
    }

    private static RoomDay upDownUp() {
        double after = CHANGE + 10_000;
        double again = after + 10_000;
        ServiceLaw fast = ServiceLaw.fixed(0.2);
        ServiceLaw slow = ServiceLaw.fixed(100);
        return new RoomDay(
                "up-down-up-500x",
                reads(),
                List.of(
                        new Span(CHANGE + RECOVERED_MS, after),
                        new Span(after + RECOVERED_MS, again),
                        new Span(again + RECOVERED_MS, again + 10_000)),
                again + 10_000,
                i -> endpoint(i, fast.until(CHANGE, slow.until(after, fast.until(again, slow)))),
                3,
                List.of(Load.steady(0, 1000, Habit.NONE)));
    }

    private static RoomDay byClass() {
        ServiceLaw law = ServiceLaw.byClass(ServiceLaw.fixed(0.5), ServiceLaw.fixed(50));
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("read", 5, Contract.Effect.SAFE),
                Settings.type("write", 2, Contract.Effect.UNSAFE));
        return new RoomDay(
                "classes-differ-100x",
                settings,
                List.of(new Span(RECOVERED_MS, 15_000)),
                15_000,
                i -> endpoint(i, law),
                3,
                List.of(Load.steady(0, 800, Habit.NONE), Load.steady(1, 200, Habit.NONE)));
    }

    private static RoomDay servers(String name, double perSecond, IntFunction<EndpointScript> fleet) {
        double from = CHANGE + RECOVERED_MS;
        return new RoomDay(
                name,
                reads(),
                List.of(new Span(from, from + 10_000)),
                from + 10_000,
                fleet,
                4,
                List.of(Load.steady(0, perSecond, Habit.NONE)));
    }

    private static RoomDay away(String name, double millis, ServiceLaw law, Habit habit) {
        double back = CHANGE + millis;
        double from = back + RECOVERED_MS;
        return new RoomDay(
                name,
                reads(),
                List.of(new Span(RECOVERED_MS, CHANGE - Settings.AIM), new Span(from, from + 5000)),
                from + 5000,
                i -> away(i, law, back),
                3,
                List.of(Load.steady(0, 1000, habit)));
    }

    // They come back one after another, and each takes five times as long at first.
    private static RoomDay backOneByOneAndCold() {
        double first = CHANGE + 3000;
        double between = 2000;
        double from = first + 2 * between + RECOVERED_MS;
        return new RoomDay(
                "back-one-by-one-and-cold",
                reads(),
                List.of(new Span(RECOVERED_MS, CHANGE - Settings.AIM), new Span(from, from + 5000)),
                from + 5000,
                i -> away(i, ServiceLaw.exponential(20).cold(first + i * between, 4000, 5), first + i * between),
                3,
                List.of(Load.steady(0, 1000, Habit.NONE)));
    }

    // The sidecar is new to endpoints that get three times what they can do; later they get half of it.
    private static RoomDay startsInOverload(Habit habit) {
        int cores = 4;
        int servers = 3;
        double mean = 20;
        double capacity = cores * servers * 1000 / mean;
        double from = CHANGE + RECOVERED_MS;
        Load load = new Load(0, now -> now < CHANGE ? 3 * capacity : capacity / 2, 3 * capacity, habit);
        String name =
                "starts-in-overload-" + habit.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new RoomDay(
                name,
                reads(),
                List.of(new Span(from, from + 5000)),
                from + 5000,
                i -> new EndpointScript("s" + i, cores, LONG_QUEUE, ServiceLaw.exponential(mean)),
                servers,
                List.of(load));
    }

    private static RoomDay step(String name, double millis) {
        double from = CHANGE + RECOVERED_MS;
        return new RoomDay(
                name,
                reads(),
                List.of(new Span(from, from + 5000)),
                from + 5000,
                i -> endpoint(i, ServiceLaw.fixed(millis)),
                3,
                List.of(new Load(0, now -> now < CHANGE ? 10 : 3000, 3000, Habit.NONE)));
    }
}
