package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.Contract;
import whinlead.testbed.DrivenClock;

/** All sidecars restart together and ask one discovery, which works through calls in turn. */
class ListHerdTest {
    /** Discovery can take one call of every sidecar in this time, and turns away what would wait longer. */
    private static final double ALL_CALLS = 4000;

    private static final double MAX_WAIT = 1000;

    private final DrivenClock clock = new DrivenClock();
    private double busyUntil;
    private int calls;
    private int told;
    private double lastTold;
    private double down;
    private final List<Double> times = new ArrayList<>();

    private final class Sidecar extends NoActions {
        private final int of;
        private final Contract.Events module;
        private boolean had;

        private Sidecar(int ordinal, int of) {
            this.of = of;
            this.module = new Decide(
                    new Contract.Settings(
                            List.of(Rig.kind("a", 1, Contract.Effect.SAFE, Contract.Group.ALL)),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, false, false, true, 2000, 0),
                            new Contract.Obligations(2000, 4, 1500, 0.12, 24_000, 10_000),
                            Contract.Reporting.NONE,
                            true,
                            of,
                            ordinal),
                    ordinal + 1,
                    this);
        }

        @Override
        public void watchServers() {
            double now = clock.now();
            calls++;
            times.add(now);
            double turn = Math.min(MAX_WAIT / 2, ALL_CALLS / of);
            double done = Math.max(busyUntil, now) + turn;
            if (now < down || done - now > MAX_WAIT) {
                clock.at(now + 1, () -> module.servers(clock.now(), Contract.ListKind.FAILED, List.of()));
                return;
            }
            busyUntil = done;
            clock.at(done, () -> {
                module.servers(clock.now(), Contract.ListKind.FULL, Rig.fleet(10));
                told += had ? 0 : 1;
                had = true;
                lastTold = clock.now();
            });
        }

        @Override
        public void wake(double at) {
            clock.at(at, () -> module.wake(clock.now()));
        }
    }

    private int mostInASecond() {
        int most = 0;
        for (int i = 0, from = 0; i < times.size(); i++) {
            while (times.get(from) <= times.get(i) - 1000) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void aFleetThatRestartsTogetherIsToldWithinTheStatedTurns(int count) {
        for (int i = 0; i < count; i++) {
            new Sidecar(i, count).module.start(0);
        }
        clock.runTo(60_000);
        assertTrue(told == count, "told: " + told);
        assertTrue(calls <= 5 * count, "calls for " + count + " sidecars: " + calls);
        assertTrue(lastTold <= 3 * ALL_CALLS, "the last is told within three times what all calls take: " + lastTold);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void aDiscoveryThatComesBackIsNotMetByAllAtOnce(int count) {
        down = 20_000;
        for (int i = 0; i < count; i++) {
            new Sidecar(i, count).module.start(0);
        }
        clock.runTo(16_000);
        int before = calls;
        times.clear();
        clock.runTo(20_000);
        assertTrue(calls - before <= 2 * count, "calls in the last 4 s of it: " + (calls - before));
        clock.runTo(60_000);
        assertTrue(told == count, "told: " + told);
        assertTrue(mostInASecond() <= Math.max(3, count), "in the worst second: " + mostInASecond());
        assertTrue(lastTold - down <= 4 * ALL_CALLS, "the last is told after: " + (lastTold - down));
    }
}
