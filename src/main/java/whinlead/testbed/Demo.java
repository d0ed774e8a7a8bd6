package whinlead.testbed;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import whinlead.Contract;

/**
 * {@code demo}: a real sidecar among stand-in endpoints and clients for some seconds, on loopback. One endpoint turns
 * slow, then all are away for a second; a line a second tells what became of the requests, and a table at the end.
 */
public final class Demo {
    private static final double LENGTH = 12_000;
    private static final double SLOW_FROM = 3000;
    private static final double AWAY_FROM = 7000;
    private static final double AWAY_TO = 8000;
    private static final int CORES = 64;
    private static final int QUEUE = 256;
    private static final double SECOND = 1000;

    private Demo() {}

    /** Runs it; the exit code is 1 where a rule was broken. */
    public static int run(PrintStream out) throws IOException {
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("status", 5, Contract.Effect.SAFE),
                Settings.type("submit", 2, Contract.Effect.UNSAFE));
        ServiceLaw law = ServiceLaw.exponential(15);
        ServiceLaw slow = law.until(SLOW_FROM, ServiceLaw.exponential(400));
        List<EndpointScript> fleet =
                List.of(endpoint("a", slow), endpoint("b", law), endpoint("c", law), endpoint("d", law));
        out.println("4 endpoints, 300 status polls and 80 submits a second. From 3 s on endpoint a is 27"
                + " times slower;\nfrom 7 to 8 s all are away.\n\n"
                + "second  asked  served  in time  refused  failed");
        Ledger ledger = new SocketDay(
                        settings,
                        fleet,
                        List.of(Load.steady(0, 300, Habit.NONE), Load.steady(1, 80, Habit.NONE)),
                        LENGTH,
                        System.nanoTime())
                .play((now, soFar) -> {
                    double end = Math.floor(now / SECOND) * SECOND;
                    if (end <= LENGTH) {
                        line(out, String.format(Locale.ROOT, "%6.0f", end / SECOND), soFar.count(end - SECOND, end));
                    }
                });
        out.println("\nin all\nclass   asked  served  in time  refused  failed");
        for (int k = 0; k < settings.classes().size(); k++) {
            line(out, settings.classes().get(k).name(), ledger.count(0, LENGTH, k));
        }
        out.println("broken rules: " + (ledger.broken().isEmpty() ? "none" : ledger.broken()));
        return ledger.broken().isEmpty() ? 0 : 1;
    }

    private static EndpointScript endpoint(String id, ServiceLaw law) {
        return new EndpointScript(id, CORES, QUEUE, law).with(EndpointScript.Kind.AWAY, AWAY_FROM, AWAY_TO);
    }

    // What was asked in the last moments may still be under way.
    private static void line(PrintStream out, String name, Ledger.Count c) {
        out.printf(
                Locale.ROOT,
                "%-6s %6d %7d %8d %8d %7d%n",
                name,
                c.asked(),
                c.served(),
                c.good(),
                c.refused(),
                c.failed());
    }
}
