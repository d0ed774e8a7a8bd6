package whinlead.testbed;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import whinlead.decide.Decide;
import whinlead.testbed.mesh.scale.ScaleRehearsal;

/**
 * {@code rehearse NAME}: causes a failure on loopback and prints what came of it, one figure a line with its promise.
 * Exits with 0, with 1 where a promise is broken, and with 2 on bad usage. Alone it lists the names.
 */
@Command(
        name = "rehearse",
        description = "Causes a failure on loopback and prints what came of it.",
        subcommands = {
            Rehearse.Room.class,
            Rehearse.Overload.class,
            Rehearse.Processor.class,
            Rehearse.Alike.class,
            ConsultSpeed.class,
            Speed.class,
            PlanRehearsal.class,
            SignalRehearsal.class,
            CopiesRehearsal.class,
            CopiesCostRehearsal.class,
            HardeningRehearsal.class,
            ScaleRehearsal.class,
            UpgradeRehearsal.class,
            SoakRehearsal.class
        })
public final class Rehearse implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs it; the exit code. */
    public static int run(String... args) {
        // A library's notes on itself are no figures.
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        return new CommandLine(new Rehearse()).execute(args);
    }

    @Override
    public Integer call() {
        spec.subcommands()
                .forEach((name, command) -> System.out.printf(
                        "%-10s %s%n",
                        name,
                        String.join(" ", command.getCommandSpec().usageMessage().description())));
        return 0;
    }

    /** What is refused while endpoints have room. */
    @Command(
            name = "room",
            description = "What is refused while the endpoints have room: service times that "
                    + "change, endpoints away and back, load that steps up.")
    static final class Room implements Callable<Integer> {
        /** A loop that is late by up to so many milliseconds, where the clock is driven. */
        private static final double JITTER = 2;

        @Option(names = "--day", description = "Only days whose name holds this.")
        private String day = "";

        @Option(names = "--driven", description = "The decisions alone, under a driven clock.")
        private boolean driven;

        @Option(names = "--seed", description = "Seed of all that is drawn.")
        private long seed = 7;

        @Override
        public Integer call() throws IOException {
            Promises promises = new Promises(System.out);
            for (RoomDay d : RoomDay.all()) {
                if (d.name().contains(day)) {
                    Ledger ledger = driven
                            ? d.play(Decide::new, JITTER, seed)
                            : new SocketDay(d.settings(), d.endpoints(), d.loads(), d.length(), seed).play();
                    promises.under(d.name() + ", refused", d.refused(ledger), RoomDay.MAX_REFUSED);
                    promises.under(
                            d.name() + ", milliseconds refused after a change", d.refusedFor(ledger), RoomDay.BOUND_MS);
                    promises.rules(d.name() + ", broken rules", ledger.broken());
                }
            }
            return promises.kept() ? 0 : 1;
        }
    }

    /** Other proxies that ask. */
    @Command(
            name = "processor",
            description = "Proxies that ask the external processor: resends of their own, "
                    + "lost, doubled and garbled reports, cuts, one that dies, an endpoint that drains.")
    static final class Processor implements Callable<Integer> {
        @Option(names = "--requests", description = "Requests over each protocol.")
        private int requests = 20_000;

        @Option(names = "--front", description = "Only this one: ${COMPLETION-CANDIDATES}.")
        private AgentFront only;

        @Option(names = "--seed", description = "Seed of all that is drawn.")
        private long seed = 9;

        @Override
        public Integer call() throws IOException {
            Promises promises = new Promises(System.out);
            for (AgentFront front : AgentFront.values()) {
                if (only == null || only == front) {
                    ProcessorDay.warmUp(front, seed + 1);
                    report(promises, front + ", ", new ProcessorDay(front, requests, seed).play());
                }
            }
            return promises.kept() ? 0 : 1;
        }

        private static void report(Promises promises, String of, ProcessorDay.Result r) {
            Ledger.Count all = r.ledger().count(0, Double.MAX_VALUE);
            promises.figure(of + "asked", all.asked());
            promises.figure(of + "calls answered", r.calls());
            promises.figure(of + "served, share", (double) all.served() / all.asked());
            promises.figure(of + "refused, share", all.refusedShare());
            promises.figure(of + "open at the proxy that died", r.openAtDeath());
            promises.figure(of + "open at the program's restart", r.openAtRestart());
            promises.rules(of + "broken rules", r.ledger().broken());
            promises.under(of + "sent to a draining endpoint after the grace", r.sentAfterGrace(), 1);
            promises.under(of + "consultations left open", r.openLeft(), 1);
            promises.under(of + "decisions that failed", r.faults(), 1);
            r.tally().forEach((kind, count) -> promises.figure(of + kind, count));
        }
    }

    /** The same load through each front. */
    @Command(
            name = "alike",
            description = "The same drawn arrivals through HTTP/1.1 and through "
                    + "proxies that ask: the same outcomes and drop percentages.")
    static final class Alike implements Callable<Integer> {
        /** Twice what other draws of the module's own changed HTTP/1.1's by; that is printed too. */
        private static final double MAX_APART = 0.05;

        @Option(names = "--seed", description = "Seed of arrivals and endpoints.")
        private long seed = 9;

        @Override
        public Integer call() throws IOException {
            Promises promises = new Promises(System.out);
            // The first of each is for the JVM to warm up.
            new AlikeDay(null, seed + 1, 1).play();
            AlikeDay.Result plain = new AlikeDay(null, seed, 1).play();
            report(promises, "HTTP/1.1", plain, plain);
            report(promises, "HTTP/1.1, other draws", new AlikeDay(null, seed, 2).play(), plain);
            for (AgentFront front : AgentFront.values()) {
                new AlikeDay(front, seed + 1, 1).play();
                report(promises, front.toString(), new AlikeDay(front, seed, 1).play(), plain);
            }
            return promises.kept() ? 0 : 1;
        }

        private static void report(Promises promises, String of, AlikeDay.Result r, AlikeDay.Result plain) {
            promises.rules(of + ", broken rules", r.ledger().broken());
            promises.figure(of + ", served", r.served());
            double apart = Math.abs(r.served() - plain.served());
            for (int i = 0; i < r.refused().length; i++) {
                promises.figure(of + ", refused of class " + i, r.refused()[i]);
                apart = Math.max(apart, Math.abs(r.refused()[i] - plain.refused()[i]));
            }
            double dropped = 0;
            for (Map.Entry<String, Double> d : r.dropped().entrySet()) {
                promises.figure(of + ", drop percentage of " + d.getKey(), d.getValue());
                dropped = Math.max(
                        dropped, Math.abs(d.getValue() - plain.dropped().get(d.getKey())));
            }
            promises.under(of + ", shares apart from HTTP/1.1", apart, MAX_APART);
            promises.under(of + ", drop percentages apart from HTTP/1.1", dropped, MAX_APART);
        }
    }

    /** Goodput against offered load. */
    @Command(
            name = "overload",
            description = "Goodput and worth against offered load, beside other "
                    + "decisions under a driven clock, or of a real sidecar on sockets.")
    static final class Overload implements Callable<Integer> {
        private static final double KEPT = 0.9;

        @Option(names = "--seed", description = "Seed of all that is drawn.")
        private long seed = 5;

        @Option(names = "--habit", description = "What clients do when refused: ${COMPLETION-CANDIDATES}.")
        private Habit habit = Habit.NONE;

        @Option(names = "--sockets", description = "A real sidecar, on sockets.")
        private boolean sockets;

        @Override
        public Integer call() throws IOException {
            Promises promises = new Promises(System.out);
            double best = 0;
            for (double m : OverloadDay.MULTIPLES) {
                String at = String.format(Locale.ROOT, " at %.1f of the capacity", m);
                OverloadDay.Result r = sockets
                        ? OverloadDay.playOnSockets(m, habit, seed)
                        : OverloadDay.play(Decide::new, m, habit, seed);
                best = Math.max(best, r.goodput());
                if (m > 1) {
                    promises.over("goodput" + at, r.goodput(), KEPT * best);
                } else {
                    promises.figure("goodput" + at, r.goodput());
                }
                promises.over("worth" + at, r.worth(), KEPT);
                promises.rules("broken rules" + at, r.ledger().broken());
                for (Map.Entry<String, OverloadDay.Result> o : others(m).entrySet()) {
                    promises.figure(o.getKey() + ", goodput" + at, o.getValue().goodput());
                    promises.figure(o.getKey() + ", worth" + at, o.getValue().worth());
                }
            }
            return promises.kept() ? 0 : 1;
        }

        private Map<String, OverloadDay.Result> others(double m) {
            Map<String, OverloadDay.Result> results = new LinkedHashMap<>();
            if (!sockets) {
                results.put("random choice", OverloadDay.play(Policies::random, m, habit, seed));
                results.put("least connections", OverloadDay.play(Policies::leastConnections, m, habit, seed));
                results.put("aimd limit", OverloadDay.play(Policies::aimd, m, habit, seed));
            }
            return results;
        }
    }
}
