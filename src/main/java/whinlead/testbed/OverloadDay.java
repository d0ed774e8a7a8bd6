package whinlead.testbed;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import whinlead.Contract;

/**
 * A fixed load, as a multiple of what four endpoints can do, of two classes: one worth 5 and safe to repeat, one worth
 * 2 and unsafe. Service times are exponential, queues long, and there are no reports.
 */
public final class OverloadDay {
    /** The multiples of the capacity that are played. */
    public static final List<Double> MULTIPLES = List.of(0.1, 0.3, 0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0);

    private static final int SERVERS = 4;
    private static final int CORES = 4;
    private static final int QUEUE = 200;
    private static final double MEAN_MS = 20;
    /** Under a driven clock, and on sockets, where it takes as long. */
    private static final Span DRIVEN = new Span(5000, 20_000);

    private static final Span SOCKETS = new Span(3000, 10_000);
    private static final double JITTER = 1;
    private static final double SAFE_SHARE = 0.7;
    private static final double SAFE_WORTH = 5;
    private static final double UNSAFE_WORTH = 2;

    /**
     * What came of it, from 5 s on.
     *
     * @param goodput requests a second answered within the aim, over what the endpoints can do
     * @param worth that of those answered within the aim, over the most that could be: all that is asked, or as much as
     *     the endpoints can do, highest worth first
     * @param ledger all that was noted
     */
    public record Result(double goodput, double worth, Ledger ledger) {}

    private OverloadDay() {}

    private record Span(double from, double to) {}

    /** Plays it with these decisions, under a driven clock. */
    public static Result play(DrivenDay.Policy policy, double multiple, Habit habit, long seed) {
        DrivenDay day = new DrivenDay(settings(), policy, fleet(), loads(multiple, habit), DRIVEN.to(), JITTER, seed);
        return result(day.play(), DRIVEN, multiple);
    }

    /**
     * Plays it on sockets, with a sidecar in a process of its own.
     *
     * @throws IOException if that does not start
     */
    public static Result playOnSockets(double multiple, Habit habit, long seed) throws IOException {
        SocketDay day = new SocketDay(settings(), fleet(), loads(multiple, habit), SOCKETS.to(), seed);
        return result(day.play(), SOCKETS, multiple);
    }

    private static Contract.Settings settings() {
        return Settings.of(
                true,
                Settings.type("safe", SAFE_WORTH, Contract.Effect.SAFE),
                Settings.type("unsafe", UNSAFE_WORTH, Contract.Effect.UNSAFE));
    }

    private static List<EndpointScript> fleet() {
        return IntStream.range(0, SERVERS)
                .mapToObj(i -> new EndpointScript("s" + i, CORES, QUEUE, ServiceLaw.exponential(MEAN_MS)))
                .toList();
    }

    private static double capacity() {
        return SERVERS * CORES * 1000 / MEAN_MS;
    }

    private static List<Load> loads(double multiple, Habit habit) {
        return List.of(
                Load.steady(0, capacity() * multiple * SAFE_SHARE, habit),
                Load.steady(1, capacity() * multiple * (1 - SAFE_SHARE), habit));
    }

    private static Result result(Ledger ledger, Span span, double multiple) {
        double seconds = (span.to() - span.from()) / 1000;
        double goodSafe = ledger.count(span.from(), span.to(), 0).good() / seconds;
        double goodUnsafe = ledger.count(span.from(), span.to(), 1).good() / seconds;
        double safe = capacity() * multiple * SAFE_SHARE;
        double unsafe = capacity() * multiple * (1 - SAFE_SHARE);
        double most = Math.min(safe, capacity()) * SAFE_WORTH
                + Math.min(unsafe, Math.max(0, capacity() - safe)) * UNSAFE_WORTH;
        return new Result(
                (goodSafe + goodUnsafe) / capacity(),
                (goodSafe * SAFE_WORTH + goodUnsafe * UNSAFE_WORTH) / most,
                ledger);
    }
}
