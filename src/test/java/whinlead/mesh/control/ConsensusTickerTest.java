package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Timers;

/** How often the consensus module runs. */
public class ConsensusTickerTest {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Timers under a simulated clock; only one timer may be pending, because a ticker uses one at a time. */
    private static final class SimulatedTimers implements Timers {
        private double now = 5_000;
        private double dueAtMs = Double.POSITIVE_INFINITY;
        private Runnable task;

        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public TimerHandle schedule(double millis, Runnable action) {
            assertEquals(dueAtMs, Double.POSITIVE_INFINITY, "two timers are pending");
            dueAtMs = now + millis;
            task = action;
            return () -> dueAtMs = Double.POSITIVE_INFINITY;
        }

        private void advanceTo(double endMs) {
            while (dueAtMs <= endMs) {
                now = dueAtMs;
                dueAtMs = Double.POSITIVE_INFINITY;
                task.run();
            }
            now = endMs;
        }
    }

    private SimulatedTimers timers;
    private List<Double> actionTimesMs;
    private boolean busy;
    private ConsensusTicker ticker;

    /** Creates a ticker while nothing is in progress. */
    @BeforeMethod
    public void createTicker() {
        timers = new SimulatedTimers();
        actionTimesMs = new ArrayList<>();
        busy = false;
        ticker = new ConsensusTicker(
                timers,
                () -> (long) (timers.nowMs() * NANOS_PER_MILLI),
                () -> actionTimesMs.add(timers.nowMs()),
                () -> busy);
        ticker.noteActivity();
    }

    private int countActions(double durationMs) {
        int before = actionTimesMs.size();
        timers.advanceTo(timers.nowMs() + durationMs);
        return actionTimesMs.size() - before;
    }

    @Test
    public void actsOftenAfterActivityAndThenRarely() {
        int active = countActions(ConsensusTicker.ACTIVE_DURATION_MS);
        assertTrue(active >= ConsensusTicker.ACTIVE_DURATION_MS / ConsensusTicker.ACTIVE_PERIOD_MS - 1, "" + active);
        countActions(100);
        int idle = countActions(60_000);
        assertTrue(idle <= 60_000 / ConsensusTicker.IDLE_PERIOD_MS + 1, "" + idle);
        assertTrue(idle >= 60_000 / ConsensusTicker.IDLE_PERIOD_MS - 1, "" + idle);
    }

    @Test
    public void activityWhileIdleIsFollowedByActionAtOnce() {
        countActions(30_000);
        ticker.noteActivity();
        double activityAtMs = timers.nowMs();
        countActions(200);
        double firstActionMs = actionTimesMs.stream()
                .filter(at -> at > activityAtMs)
                .findFirst()
                .orElse(Double.MAX_VALUE);
        assertTrue(
                firstActionMs - activityAtMs <= 1.5 * ConsensusTicker.ACTIVE_PERIOD_MS + 0.001,
                firstActionMs - activityAtMs + " ms");
        assertTrue(countActions(1000) >= 39);
    }

    @Test
    public void staysActiveWhileBusy() {
        busy = true;
        countActions(10_000);
        assertTrue(countActions(1000) >= 39);
        busy = false;
        countActions(100);
        assertTrue(countActions(1000) <= 14);
    }

    @Test
    public void activityFromItsOwnActionAddsNoTimer() {
        ticker = new ConsensusTicker(
                timers,
                () -> (long) (timers.nowMs() * NANOS_PER_MILLI),
                () -> {
                    actionTimesMs.add(timers.nowMs());
                    ticker.noteActivity();
                },
                () -> false);
        timers.dueAtMs = Double.POSITIVE_INFINITY;
        ticker.noteActivity();
        assertTrue(countActions(10_000) <= 401);
    }
}
