package whinlead.testbed;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import whinlead.testbed.mesh.soak.SoakRun;

/** {@code rehearse soak}: processes of this version on loopback under signals, kills, restarts and changes. */
@Command(
        name = "soak",
        description = "Control nodes, sidecars, endpoints and clients as processes on loopback, while signals, kills, "
                + "restarts and changes overlap. Exits with 1 where a rule is broken.")
final class SoakRehearsal implements Callable<Integer> {
    private static final int MAX_SIDECARS = 60;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", description = "Of what is drawn.")
    private long seed = 1;

    @Option(names = "--seconds", description = "How long it is disturbed, in seconds.")
    private double seconds = 20;

    @Option(names = "--sidecars", description = "Sidecars, 1 to 60.")
    private int sidecars = 3;

    @Override
    public Integer call() throws Exception {
        if (sidecars < 1 || sidecars > MAX_SIDECARS) {
            throw new ParameterException(spec.commandLine(), "--sidecars: 1 to " + MAX_SIDECARS);
        }
        if (!(seconds > 0)) {
            throw new ParameterException(spec.commandLine(), "--seconds: more than 0");
        }
        System.out.println("seed " + seed + ", " + sidecars + " sidecars, " + seconds + " s");
        List<String> broken;
        try (SoakRun run = new SoakRun(seed, sidecars)) {
            // Also where this process is told to end: its children would go on.
            Runtime.getRuntime().addShutdownHook(new Thread(run::killAll));
            broken = run.play(seconds);
            System.out.println(run.summary());
        }
        broken.forEach(System.out::println);
        System.out.println(broken.isEmpty() ? "kept" : "BROKEN: " + broken.size());
        return broken.isEmpty() ? 0 : 1;
    }
}
