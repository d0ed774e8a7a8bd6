package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.Test;
import whinlead.engine.Timers;

/** How often a sidecar wakes for its services' modules. */
public class AlignedTimersTest {
    private static final double PERIOD = 40;

    /** A driven clock with its due tasks. */
    private static final class Driven implements Timers {
        private record Due(double at, Runnable task) {}

        private final List<Due> due = new ArrayList<>();
        private final TreeSet<Double> wakes = new TreeSet<>();
        private double now = 1_000_003.7;

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double millis, Runnable task) {
            Due d = new Due(now + Math.max(0, millis), task);
            due.add(d);
            return () -> due.remove(d);
        }

        private void until(double end) {
            while (true) {
                Due next = due.stream()
                        .min((a, b) -> Double.compare(a.at(), b.at()))
                        .orElse(null);
                if (next == null || next.at() > end) {
                    now = end;
                    return;
                }
                due.remove(next);
                now = next.at();
                // Within a tenth of a millisecond it is one wake-up.
                wakes.add(Math.rint(now * 10) / 10);
                next.task().run();
            }
        }
    }

    private static void module(Timers timers, Random random, List<Double> spans) {
        double began = timers.now();
        timers.after(PERIOD * (0.9 + 0.2 * random.nextDouble()), () -> {
            spans.add(timers.now() - began);
            module(timers, random, spans);
        });
    }

    @Test
    public void theModulesOfAllServicesWakeTheSidecarTogether() {
        Driven driven = new Driven();
        Timers beat = new AlignedTimers(driven, PERIOD);
        List<Double> spans = new ArrayList<>();
        double begin = driven.now();
        for (int i = 0; i < 4; i++) {
            module(beat, new Random(i), spans);
        }
        driven.until(begin + 100 * PERIOD);
        assertTrue(driven.wakes.size() <= 101, driven.wakes.size() + " wake-ups for 100 periods");
        assertTrue(spans.size() >= 4 * 98, spans.size() + " periods of four modules");
        // But for the first, which finds the beat, each is a period.
        spans.subList(4, spans.size()).forEach(s -> assertEquals(s, PERIOD, 0.001));
    }

    @Test
    public void theMomentsAreThoseOfTheGivenPhase() {
        Driven driven = new Driven();
        double moment = driven.now() + 13.2;
        Timers beat = new AlignedTimers(driven, PERIOD, moment);
        List<Double> ends = new ArrayList<>();
        beat.after(PERIOD, () -> ends.add(driven.now()));
        driven.until(moment + 10 * PERIOD);
        assertEquals(ends.size(), 1);
        assertEquals(Math.IEEEremainder(ends.get(0) - moment, PERIOD), 0, 0.001);
    }

    @Test
    public void otherSpansEndWhenTheyWereTo() {
        Driven driven = new Driven();
        Timers beat = new AlignedTimers(driven, PERIOD);
        List<Double> ends = new ArrayList<>();
        double begin = driven.now();
        for (double span : new double[] {0, 7, 30, 50, 1234.5}) {
            beat.after(span, () -> ends.add(driven.now() - begin));
        }
        beat.after(60, () -> ends.add(-1.0)).cancel();
        driven.until(begin + 2000);
        assertEquals(ends.size(), 5);
        for (int i = 0; i < 5; i++) {
            assertEquals(ends.get(i), new double[] {0, 7, 30, 50, 1234.5}[i], 0.001);
        }
    }
}
