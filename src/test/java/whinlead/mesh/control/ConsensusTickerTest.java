package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Timers;

/** How often the consensus module acts. */
public class ConsensusTickerTest {
    private static final double NANOS_IN_MILLI = 1e6;

    /** A driven clock; of its timers the newest alone is kept, as a ticker has one. */
    private static final class Driven implements Timers {
        private double now = 5_000;
        private double at = Double.POSITIVE_INFINITY;
        private Runnable task;

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double millis, Runnable run) {
            assertEquals(at, Double.POSITIVE_INFINITY, "two timers at a time");
            at = now + millis;
            task = run;
            return () -> at = Double.POSITIVE_INFINITY;
        }

        private void until(double end) {
            while (at <= end) {
                now = at;
                at = Double.POSITIVE_INFINITY;
                task.run();
            }
            now = end;
        }
    }

    private Driven driven;
    private List<Double> acts;
    private boolean busy;
    private ConsensusTicker ticker;

    /** A ticker with nothing under way. */
    @BeforeMethod
    public void begin() {
        driven = new Driven();
        acts = new ArrayList<>();
        busy = false;
        ticker = new ConsensusTicker(
                driven, () -> (long) (driven.now() * NANOS_IN_MILLI), () -> acts.add(driven.now()), () -> busy);
        ticker.activity();
    }

    private int actsIn(double millis) {
        int before = acts.size();
        driven.until(driven.now() + millis);
        return acts.size() - before;
    }

    @Test
    public void itActsOftenForSomeTimeAndThenSeldom() {
        int active = actsIn(ConsensusTicker.ACTIVE_MS);
        assertTrue(active >= ConsensusTicker.ACTIVE_MS / ConsensusTicker.ACTIVE_PERIOD_MS - 1, "" + active);
        actsIn(100);
        int idle = actsIn(60_000);
        assertTrue(idle <= 60_000 / ConsensusTicker.IDLE_PERIOD_MS + 1, "" + idle);
        assertTrue(idle >= 60_000 / ConsensusTicker.IDLE_PERIOD_MS - 1, "" + idle);
    }

    @Test
    public void anActivityWhileIdleIsFollowedUpAtOnce() {
        actsIn(30_000);
        ticker.activity();
        double began = driven.now();
        actsIn(200);
        double first = acts.stream().filter(at -> at > began).findFirst().orElse(Double.MAX_VALUE);
        assertTrue(first - began <= 1.5 * ConsensusTicker.ACTIVE_PERIOD_MS + 0.001, first - began + " ms");
        assertTrue(actsIn(1000) >= 39);
    }

    @Test
    public void whatIsUnderWayKeepsItActive() {
        busy = true;
        actsIn(10_000);
        assertTrue(actsIn(1000) >= 39);
        busy = false;
        actsIn(100);
        assertTrue(actsIn(1000) <= 14);
    }

    @Test
    public void anActivityOfItsOwnActDoesNotAddATimer() {
        ticker = new ConsensusTicker(
                driven,
                () -> (long) (driven.now() * NANOS_IN_MILLI),
                () -> {
                    acts.add(driven.now());
                    ticker.activity();
                },
                () -> false);
        driven.at = Double.POSITIVE_INFINITY;
        ticker.activity();
        assertTrue(actsIn(10_000) <= 401);
    }
}
