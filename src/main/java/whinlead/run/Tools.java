package whinlead.run;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import whinlead.plan.tool.CaptureCommand;
import whinlead.plan.tool.PlanCommand;
import whinlead.testbed.Demo;
import whinlead.testbed.Rehearse;
import whinlead.testbed.ReplayCommand;

/**
 * Everything but {@code serve}, {@code check} and {@code benchlink}, which start without it, in one tree. Exit codes:
 * 0; 1 for what is bad, a promise that is broken or a goal that is not met, in one line; 2 for bad usage. Some add
 * their own.
 */
@Command(
        name = "whinlead",
        mixinStandardHelpOptions = true,
        description = "Beside serve, check and benchlink, which take no options:",
        subcommands = {
            Tools.DemoCommand.class,
            Rehearse.class,
            PlanCommand.class,
            CaptureCommand.class,
            ReplayCommand.class,
            ReplicationCommand.class
        })
final class Tools implements Runnable {
    @Spec
    private CommandSpec spec;

    private Tools() {}

    /** Runs one of them; the exit code. */
    static int execute(String... args) {
        return PlanCommand.run(new Tools(), args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "which one?");
    }

    /** A real sidecar among stand-ins. */
    @Command(name = "demo", description = "A real sidecar among stand-in endpoints and clients for some seconds.")
    static final class DemoCommand implements Callable<Integer> {
        @Option(
                names = {"-h", "--help"},
                usageHelp = true,
                description = "Tells this.")
        private boolean help;

        @Override
        public Integer call() throws IOException {
            return Demo.run(System.out);
        }
    }
}
