package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.Test;
import whinlead.engine.Timers;

/** How often a sidecar wakes up for the modules of its services. */
public class AlignedTimersTest {
    private static final double PERIOD_MS = 40;

    /** Timers on a clock that the test advances. */
    private static final class ManualTimers implements Timers {
        private record ScheduledTask(double dueMs, Runnable task) {}

        private final List<ScheduledTask> tasks = new ArrayList<>();
        private final TreeSet<Double> wakeTimesMs = new TreeSet<>();
        private double now = 1_000_003.7;

        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public TimerHandle schedule(double delayMs, Runnable task) {
            ScheduledTask scheduled = new ScheduledTask(now + Math.max(0, delayMs), task);
            tasks.add(scheduled);
            return () -> tasks.remove(scheduled);
        }

        private void runTo(double endMs) {
            while (true) {
                ScheduledTask nextTask = tasks.stream()
                        .min((a, b) -> Double.compare(a.dueMs(), b.dueMs()))
                        .orElse(null);
                if (nextTask == null || nextTask.dueMs() > endMs) {
                    now = endMs;
                    return;
                }
                tasks.remove(nextTask);
                now = nextTask.dueMs();
                // Tasks within a tenth of a millisecond count as one wake-up.
                wakeTimesMs.add(Math.rint(now * 10) / 10);
                nextTask.task().run();
            }
        }
    }

    private static void startModule(Timers timers, Random random, List<Double> periodsMs) {
        double startMs = timers.nowMs();
        timers.schedule(PERIOD_MS * (0.9 + 0.2 * random.nextDouble()), () -> {
            periodsMs.add(timers.nowMs() - startMs);
            startModule(timers, random, periodsMs);
        });
    }

    @Test
    public void modulesOfAllServicesWakeTogether() {
        ManualTimers manualTimers = new ManualTimers();
        Timers alignedTimers = new AlignedTimers(manualTimers, PERIOD_MS);
        List<Double> periodsMs = new ArrayList<>();
        double startMs = manualTimers.nowMs();
        for (int i = 0; i < 4; i++) {
            startModule(alignedTimers, new Random(i), periodsMs);
        }
        manualTimers.runTo(startMs + 100 * PERIOD_MS);
        assertTrue(
                manualTimers.wakeTimesMs.size() <= 101, manualTimers.wakeTimesMs.size() + " wake-ups for 100 periods");
        assertTrue(periodsMs.size() >= 4 * 98, periodsMs.size() + " periods of four modules");
        // Each lasts one period, except the first, which ends on the next tick.
        periodsMs.subList(4, periodsMs.size()).forEach(s -> assertEquals(s, PERIOD_MS, 0.001));
    }

    @Test
    public void ticksFollowTheGivenPhase() {
        ManualTimers manualTimers = new ManualTimers();
        double tickMs = manualTimers.nowMs() + 13.2;
        Timers alignedTimers = new AlignedTimers(manualTimers, PERIOD_MS, tickMs);
        List<Double> firedMs = new ArrayList<>();
        alignedTimers.schedule(PERIOD_MS, () -> firedMs.add(manualTimers.nowMs()));
        manualTimers.runTo(tickMs + 10 * PERIOD_MS);
        assertEquals(firedMs.size(), 1);
        assertEquals(Math.IEEEremainder(firedMs.get(0) - tickMs, PERIOD_MS), 0, 0.001);
    }

    @Test
    public void otherDelaysAreNotAligned() {
        ManualTimers manualTimers = new ManualTimers();
        Timers alignedTimers = new AlignedTimers(manualTimers, PERIOD_MS);
        List<Double> firedMs = new ArrayList<>();
        double startMs = manualTimers.nowMs();
        for (double delayMs : new double[] {0, 7, 30, 50, 1234.5}) {
            alignedTimers.schedule(delayMs, () -> firedMs.add(manualTimers.nowMs() - startMs));
        }
        alignedTimers.schedule(60, () -> firedMs.add(-1.0)).cancel();
        manualTimers.runTo(startMs + 2000);
        assertEquals(firedMs.size(), 5);
        for (int i = 0; i < 5; i++) {
            assertEquals(firedMs.get(i), new double[] {0, 7, 30, 50, 1234.5}[i], 0.001);
        }
    }
}
