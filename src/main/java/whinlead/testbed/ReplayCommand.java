package whinlead.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import whinlead.plan.Load;
import whinlead.plan.tool.CaptureLoad;
import whinlead.plan.tool.Description;

/**
 * {@code replay FLEET CAPTURE}: plays a capture, open loop, against real sidecars before stand-in fronts that follow a
 * description, on loopback, and prints what came of it beside what the planner says. A request's time counts from its
 * planned start, however late it could be sent.
 */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Plays a capture against real sidecars "
                + "before stand-in fronts that follow a description, beside the planner's answer.")
public final class ReplayCommand implements Callable<Integer> {
    /** A run of so many milliseconds at most, in real time. */
    private static final double MAX_LENGTH = 600_000;
    /** Sidecars on one machine, each a process. */
    private static final int MAX_SIDECARS = 8;

    @Parameters(index = "0", paramLabel = "FLEET", description = "The description, as deploy/fleet.json.")
    private Path file;

    @Parameters(index = "1", paramLabel = "CAPTURE", description = "The capture.")
    private Path capture;

    @Option(names = "--speed", description = "How many times as fast as it was captured.")
    private double speed = 1;

    @Option(names = "--seed", description = "Seed of the machines and the work.")
    private long seed = 1;

    @Option(names = "--habit", description = "What clients do when refused: ${COMPLETION-CANDIDATES}.")
    private Habit habit = Habit.NONE;

    @Override
    public Integer call() throws IOException {
        Description d = Description.read(file);
        CaptureLoad load = new CaptureLoad(capture, d.fleet());
        if (!(speed > 0) || load.lengthMs(speed) > MAX_LENGTH) {
            throw new IllegalArgumentException("--speed: a replay takes ten minutes at most");
        }
        if (d.fleet().shares().size() > MAX_SIDECARS) {
            throw new IllegalArgumentException("sidecars.shares: a replay has " + MAX_SIDECARS + " sidecars at most");
        }
        PlanDay day = new PlanDay(d.fleet(), new Load(0, List.of(), List.of(), load.lengthMs(speed)), habit);
        PlanDay.Result said = day.predict(seed, load.arrivals(speed));
        PlanDay.Result done = day.measure(seed, () -> load.arrivals(speed), load.lengthMs(speed));
        Promises figures = new Promises(System.out);
        figures.figure("requests", load.summary().requests());
        figures.figure("worth served, predicted", said.worth());
        figures.figure("worth served, measured", done.worth());
        figures.figure("refused share, predicted", said.refused());
        figures.figure("refused share, measured", done.refused());
        figures.figure("late share, predicted", said.late());
        figures.figure("late share, measured", done.late());
        load.caveats(speed).forEach(System.out::println);
        return 0;
    }
}
