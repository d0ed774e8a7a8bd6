package whinlead.plan.tool;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import whinlead.Contract;
import whinlead.capture.CaptureInput;
import whinlead.capture.CaptureOutput;
import whinlead.capture.Entry;
import whinlead.capture.Summary;
import whinlead.engine.RequestListener;
import whinlead.plan.Arrival;

/** {@code capture make} and {@code capture inspect}: captured loads; see {@code docs/planner.md}. */
@Command(
        name = "capture",
        description = "Makes and inspects captured loads.",
        mixinStandardHelpOptions = true,
        subcommands = {CaptureCommand.Make.class, CaptureCommand.Inspect.class})
public final class CaptureCommand {
    private CaptureCommand() {}

    /** Runs it; the exit code as the planner's. */
    public static int run(String... args) {
        return PlanCommand.run(new CaptureCommand(), args);
    }

    /** Makes one. */
    @Command(
            name = "make",
            mixinStandardHelpOptions = true,
            description = "Makes a capture from the load that a description draws with a seed.")
    static final class Make implements Callable<Integer> {
        private static final double MICROS = 1000;

        @Parameters(index = "0", paramLabel = "FLEET", description = "The description, as deploy/fleet.json.")
        private Path file;

        @Parameters(index = "1", paramLabel = "CAPTURE", description = "The capture that is written.")
        private Path to;

        @Option(names = "--seed", description = "Seed of all that is drawn.")
        private long seed = 1;

        @Override
        public Integer call() throws IOException {
            Description d = Description.read(file);
            List<Contract.RequestClass> classes = d.fleet().settings().classes();
            Path half = Files.createTempFile(to.toAbsolutePath().getParent(), "capture", ".tmp");
            try {
                try (CaptureOutput out = new CaptureOutput(
                        new BufferedOutputStream(Files.newOutputStream(half)),
                        classes.stream().map(Contract.RequestClass::name).toList())) {
                    for (Iterator<Arrival> load = d.load().arrivals(seed); load.hasNext(); ) {
                        Arrival a = load.next();
                        out.write(new Entry(
                                Math.round(a.at() * MICROS),
                                a.kind(),
                                a.tenant(),
                                (int) classes.get(a.kind()).deadline(),
                                0,
                                a.repeat(),
                                RequestListener.End.SERVED));
                    }
                }
                Files.move(half, to, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(half);
            }
            return 0;
        }
    }

    /** Summarises one. */
    @Command(name = "inspect", mixinStandardHelpOptions = true, description = "Tells what a capture holds.")
    static final class Inspect implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CAPTURE", description = "The capture.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Summary s;
            try (CaptureInput in = new CaptureInput(Files.newInputStream(file))) {
                s = Summary.of(in);
            }
            System.out.println("requests: " + s.requests());
            System.out.printf(Locale.ROOT, "seconds: %.3f%n", s.seconds());
            System.out.println("fullest second: " + s.peak());
            for (int k = 0; k < s.classes().size(); k++) {
                System.out.println(
                        "of class " + s.classes().get(k) + ": " + s.counts().get(k));
            }
            for (RequestListener.End e : RequestListener.End.values()) {
                System.out.println(
                        e.name().toLowerCase(Locale.ROOT) + ": " + s.ends().get(e.ordinal()));
            }
            System.out.println("repeats: " + s.repeats());
            System.out.println("lost: " + s.lost());
            System.out.println("clock went back: " + s.jumps());
            System.out.println("torn at the end: " + s.torn());
            return 0;
        }
    }
}
