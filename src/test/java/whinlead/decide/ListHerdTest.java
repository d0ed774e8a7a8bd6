package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.Contract;
import whinlead.testbed.DrivenClock;

/** All sidecars restart together and request the list from one discovery service, which handles calls one at a time. */
class ListHerdTest {
    /**
     * The discovery service handles one call of every sidecar in this time, and rejects calls that would wait longer
     * than MAX_WAIT_MS.
     */
    private static final double ALL_CALLS_MS = 4000;

    private static final double MAX_WAIT_MS = 1000;

    private final DrivenClock clock = new DrivenClock();
    private double busyUntilMs;
    private int calls;
    private int informed;
    private double lastInformedMs;
    private double downUntilMs;
    private final List<Double> callTimesMs = new ArrayList<>();

    private final class Sidecar extends NoActions {
        private final int sidecarCount;
        private final Contract.Events module;
        private boolean hasList;

        private Sidecar(int ordinal, int sidecarCount) {
            this.sidecarCount = sidecarCount;
            this.module = new Decide(
                    new Contract.Settings(
                            List.of(Rig.requestClass("a", 1, Contract.Effect.SAFE, Contract.Group.ALL)),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, false, false, true, 2000, 0),
                            new Contract.Obligations(2000, 4, 1500, 0.12, 24_000, 10_000),
                            Contract.Reporting.NONE,
                            true,
                            sidecarCount,
                            ordinal),
                    ordinal + 1,
                    this);
        }

        @Override
        public void watchServers() {
            double nowMs = clock.nowMs();
            calls++;
            callTimesMs.add(nowMs);
            double serviceMs = Math.min(MAX_WAIT_MS / 2, ALL_CALLS_MS / sidecarCount);
            double doneMs = Math.max(busyUntilMs, nowMs) + serviceMs;
            if (nowMs < downUntilMs || doneMs - nowMs > MAX_WAIT_MS) {
                clock.at(nowMs + 1, () -> module.servers(clock.nowMs(), Contract.ListKind.FAILED, List.of()));
                return;
            }
            busyUntilMs = doneMs;
            clock.at(doneMs, () -> {
                module.servers(clock.nowMs(), Contract.ListKind.FULL, Rig.fleet(10));
                informed += hasList ? 0 : 1;
                hasList = true;
                lastInformedMs = clock.nowMs();
            });
        }

        @Override
        public void wake(double timeMs) {
            clock.at(timeMs, () -> module.wake(clock.nowMs()));
        }
    }

    private int maxCallsPerSecond() {
        int most = 0;
        for (int i = 0, from = 0; i < callTimesMs.size(); i++) {
            while (callTimesMs.get(from) <= callTimesMs.get(i) - 1000) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void restartingFleetReceivesTheListInTime(int count) {
        for (int i = 0; i < count; i++) {
            new Sidecar(i, count).module.start(0);
        }
        clock.runTo(60_000);
        assertTrue(informed == count, "sidecars with a list: " + informed);
        assertTrue(calls <= 5 * count, "calls for " + count + " sidecars: " + calls);
        assertTrue(
                lastInformedMs <= 3 * ALL_CALLS_MS,
                "the last sidecar has the list within three times the duration of all calls: " + lastInformedMs);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void recoveringDiscoveryIsNotFlooded(int count) {
        downUntilMs = 20_000;
        for (int i = 0; i < count; i++) {
            new Sidecar(i, count).module.start(0);
        }
        clock.runTo(16_000);
        int before = calls;
        callTimesMs.clear();
        clock.runTo(20_000);
        assertTrue(calls - before <= 2 * count, "calls in the last 4 s of the outage: " + (calls - before));
        clock.runTo(60_000);
        assertTrue(informed == count, "sidecars with a list: " + informed);
        assertTrue(maxCallsPerSecond() <= Math.max(3, count), "most calls within a second: " + maxCallsPerSecond());
        assertTrue(
                lastInformedMs - downUntilMs <= 4 * ALL_CALLS_MS,
                "ms from recovery until the last sidecar has the list: " + (lastInformedMs - downUntilMs));
    }
}
