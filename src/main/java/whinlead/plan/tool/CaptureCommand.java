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

/**
 * {@code capture make} and {@code capture inspect}: create and summarise captured loads; see {@code docs/planner.md}.
 */
@Command(
        name = "capture",
        description = "Creates and inspects captured loads.",
        mixinStandardHelpOptions = true,
        subcommands = {CaptureCommand.Make.class, CaptureCommand.Inspect.class})
public final class CaptureCommand {
    private CaptureCommand() {}

    /** Runs the command and returns the planner's exit code. */
    public static int run(String... args) {
        return PlanCommand.run(new CaptureCommand(), args);
    }

    /** Creates a capture. */
    @Command(
            name = "make",
            mixinStandardHelpOptions = true,
            description = "Creates a capture from the load of a description and a seed.")
    static final class Make implements Callable<Integer> {
        private static final double MICROS_PER_MS = 1000;

        @Parameters(index = "0", paramLabel = "FLEET", description = "The description; see deploy/fleet.json.")
        private Path file;

        @Parameters(index = "1", paramLabel = "CAPTURE", description = "The capture file to write.")
        private Path target;

        @Option(names = "--seed", description = "Seed of the random load.")
        private long seed = 1;

        @Override
        public Integer call() throws IOException {
            Description description = Description.read(file);
            List<Contract.RequestClass> classes = description.fleet().settings().classes();
            Path temporary = Files.createTempFile(target.toAbsolutePath().getParent(), "capture", ".tmp");
            try {
                try (CaptureOutput out = new CaptureOutput(
                        new BufferedOutputStream(Files.newOutputStream(temporary)),
                        classes.stream().map(Contract.RequestClass::name).toList())) {
                    for (Iterator<Arrival> load = description.load().arrivals(seed); load.hasNext(); ) {
                        Arrival arrival = load.next();
                        out.write(new Entry(
                                Math.round(arrival.atMs() * MICROS_PER_MS),
                                arrival.kind(),
                                arrival.tenant(),
                                (int) classes.get(arrival.kind()).deadline(),
                                0,
                                arrival.repeat(),
                                RequestListener.Result.SERVED));
                    }
                }
                Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(temporary);
            }
            return 0;
        }
    }

    /** Summarises a capture. */
    @Command(name = "inspect", mixinStandardHelpOptions = true, description = "Summarises a capture.")
    static final class Inspect implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CAPTURE", description = "The capture file.")
        private Path file;

        @Override
        public Integer call() throws IOException {
            Summary summary;
            try (CaptureInput in = new CaptureInput(Files.newInputStream(file))) {
                summary = Summary.read(in);
            }
            System.out.println("requests: " + summary.requests());
            System.out.printf(Locale.ROOT, "seconds: %.3f%n", summary.durationSeconds());
            System.out.println("fullest second: " + summary.peakRequestsPerSecond());
            for (int requestClass = 0; requestClass < summary.classes().size(); requestClass++) {
                System.out.println("of class " + summary.classes().get(requestClass) + ": "
                        + summary.requestsByClass().get(requestClass));
            }
            for (RequestListener.Result e : RequestListener.Result.values()) {
                System.out.println(e.name().toLowerCase(Locale.ROOT) + ": "
                        + summary.requestsByOutcome().get(e.ordinal()));
            }
            System.out.println("repeats: " + summary.repeats());
            System.out.println("lost: " + summary.lostEntries());
            System.out.println("clock went back: " + summary.backwardClockJumps());
            System.out.println("torn at the end: " + summary.truncated());
            return 0;
        }
    }
}
