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
 * The command tree for all commands except {@code serve}, {@code check} and {@code benchlink}, which start without
 * loading it. Exit codes: 0 success; 1 invalid input, a violated guarantee or a missed goal, with a one-line message; 2
 * bad usage. Some commands add their own.
 */
@Command(
        name = "whinlead",
        mixinStandardHelpOptions = true,
        description = "Commands besides serve, check and benchlink, which take no options:",
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

    /** Runs a command and returns its exit code. */
    static int execute(String... args) {
        return PlanCommand.run(new Tools(), args);
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "missing command");
    }

    /** Runs a real sidecar with simulated endpoints and clients. */
    @Command(name = "demo", description = "Run a real sidecar with simulated endpoints and clients for some seconds.")
    static final class DemoCommand implements Callable<Integer> {
        @Option(
                names = {"-h", "--help"},
                usageHelp = true,
                description = "Show this help.")
        private boolean helpRequested;

        @Override
        public Integer call() throws IOException {
            return Demo.run(System.out);
        }
    }
}
