package whinlead.testbed;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import whinlead.testbed.mesh.upgrade.Figures;
import whinlead.testbed.mesh.upgrade.Program;
import whinlead.testbed.mesh.upgrade.Rollout;

/** {@code rehearse upgrade}: another version of the program beside this one, as processes on loopback. */
@Command(
        name = "upgrade",
        description = "Three control nodes and three sidecars go from another version to this "
                + "one, half way, back, through, and all back, under requests and changes.")
final class UpgradeRehearsal implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--other-jar", required = true, description = "The other version's program.")
    private Path otherJar;

    @Option(names = "--stand-s", description = "How long it stands after each way, in seconds.")
    private long standS = 10;

    @Override
    public Integer call() throws Exception {
        if (!Files.isRegularFile(otherJar)) {
            throw new ParameterException(spec.commandLine(), "--other-jar: no file " + otherJar);
        }
        Promises promises = new Promises(System.out);
        try (Rollout rollout = new Rollout(
                figuresOf(promises), Program.of(otherJar), Program.running(), TimeUnit.SECONDS.toMillis(standS))) {
            rollout.play();
        }
        return promises.kept() ? 0 : 1;
    }

    private static Figures figuresOf(Promises promises) {
        return new Figures() {
            @Override
            public void figure(String name, double value) {
                promises.figure(name, value);
            }

            @Override
            public void under(String name, double value, double bound) {
                promises.under(name, value, bound);
            }
        };
    }
}
