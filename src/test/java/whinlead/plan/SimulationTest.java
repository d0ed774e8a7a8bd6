package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.Contract;

/** Tests the simulation: invariants for random fleets, and the effect of each part of a description. */
class SimulationTest {
    private static Outcome run(Fleet f, Load load, long seed) {
        return new Simulation(f, seed).run(load.arrivals(seed));
    }

    @Test
    void lightLoadIsServedWithExpectedUsage() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.NONE);
        Outcome o = run(f, Fleets.load(f, 0.4, 30_000), 1);
        assertTrue(o.worth() > 0.995, "served: " + o.worth());
        assertEquals(0.4, o.usage().cores(), 0.02);
        assertEquals(0, o.usage().room());
        assertEquals(0, o.usage().places());
    }

    @Test
    void overloadIsServedUpToCapacityAndRestIsRefused() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
        Outcome o = run(f, Fleets.load(f, 2, 30_000), 1);
        assertTrue(o.usage().cores() > 0.85, "busy: " + o.usage().cores());
        assertTrue((double) o.inTime() / o.offered() < 0.5, "not above capacity: " + o.inTime());
        assertTrue((double) o.inTime() / o.offered() > 0.35, "most of the capacity: " + o.inTime());
        assertTrue(o.refused() > o.failed(), "the rest is refused: " + o.refused() + ", failed " + o.failed());
        assertTrue(o.worth() > (double) o.inTime() / o.offered(), "classes of higher worth are served first");
    }

    @Test
    void slowingQuarterOfFrontsCostsLittleService() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
        Load load = Fleets.load(f, 0.8, 20_000);
        double calm = run(f, load, 2).worth();
        double slowed = run(
                        f.changes(List.of(new Fleet.Change(Fleet.ChangeKind.SLOWED, null, 0.25, 0.4, 5000, 20_000, 0))),
                        load,
                        2)
                .worth();
        assertTrue(slowed < calm - 0.002 && slowed > 0.8, "calm " + calm + ", slowed " + slowed);
    }

    @Test
    void serviceRecoversAfterLostZoneReturns() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS)
                .changes(List.of(new Fleet.Change(Fleet.ChangeKind.ZONE_LOST, "a", 1, 0, 5000, 12_000, 2000)));
        Outcome o = run(f, Fleets.load(f, 0.5, 40_000), 3);
        double[] s = o.worthBySecond();
        assertTrue(s[3] > 0.98, "before: " + s[3]);
        double least = Arrays.stream(s, 4, 8).min().orElseThrow();
        assertTrue(least < 0.995, "before the list shows the loss: " + least);
        double after = Arrays.stream(s, 30, 40).min().orElseThrow();
        assertTrue(after > 0.97, "after: " + after);
    }

    @Test
    void zoneWithResetConnectionsCostsLessThanSilentZone() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.NONE);
        Load load = Fleets.load(f, 0.5, 12_000);
        double[] worth = new double[2];
        for (Fleet.ChangeKind kind : List.of(Fleet.ChangeKind.ZONE_LOST, Fleet.ChangeKind.ZONE_DIED)) {
            worth[kind == Fleet.ChangeKind.ZONE_LOST ? 0 : 1] = run(
                            f.changes(List.of(new Fleet.Change(kind, "a", 1, 1, 3000, 20_000, 1000))), load, 3)
                    .worth();
        }
        assertTrue(worth[1] > worth[0] && worth[0] > 0.9, "silent " + worth[0] + ", ended " + worth[1]);
    }

    @Test
    void retriesAfterRefusalsAreCountedAsLoad() {
        Fleet once = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
        Fleet thrice = new Fleet(
                once.settings(),
                once.models(),
                once.zones(),
                once.fronts(),
                once.work(),
                once.front(),
                once.sidecar(),
                once.shares(),
                new Fleet.Clients(3, 100, 0.5),
                List.of());
        Load load = Fleets.load(once, 1.5, 10_000);
        assertTrue(run(thrice, load, 4).offered() > 1.4 * run(once, load, 4).offered());
    }

    @Test
    void sidecarPlacesConnectionsAndProcessorLimitLoad() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.NONE);
        Load load = Fleets.load(f, 0.6, 10_000);
        Outcome places = run(with(f, new Fleet.Sidecar(0.1, 5, 1000, 250, 60_000)), load, 5);
        assertTrue(places.usage().places() > 0.1, "places: " + places.usage());
        Outcome lines = run(with(f, new Fleet.Sidecar(0.1, 1000, 4, 250, 60_000)), load, 5);
        assertTrue(lines.usage().connections() > 0.1, "connections: " + lines.usage());
        Outcome busy = run(with(f, new Fleet.Sidecar(10, 1000, 1000, 250, 60_000)), load, 5);
        assertTrue(busy.usage().sidecar() > 0.99, "processor: " + busy.usage());
        assertTrue(busy.worth() < 0.7, "service is reduced: " + busy.worth());
    }

    private static Fleet with(Fleet f, Fleet.Sidecar s) {
        return new Fleet(
                f.settings(),
                f.models(),
                f.zones(),
                f.fronts(),
                f.work(),
                f.front(),
                s,
                f.shares(),
                f.clients(),
                f.changes());
    }

    @Test
    void sameSeedGivesSameOutcomeOnOneOrSeveralThreads() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS)
                .changes(List.of(new Fleet.Change(Fleet.ChangeKind.ZONE_LOST, "b", 1, 0, 1000, 2000, 500)));
        Load load = Fleets.load(f, 0.9, 4000);
        List<Outcome> alone =
                LongStream.range(0, 16).mapToObj(s -> run(f, load, s)).toList();
        List<Outcome> together = LongStream.range(0, 16)
                .parallel()
                .mapToObj(s -> run(f, load, s))
                .toList();
        for (int i = 0; i < 16; i++) {
            Outcome a = alone.get(i);
            Outcome b = together.get(i);
            assertEquals(a.worthServed(), b.worthServed());
            assertEquals(a.usage(), b.usage());
            assertEquals(
                    a.offered() + a.inTime() * 7 + a.refused() * 31, b.offered() + b.inTime() * 7 + b.refused() * 31);
            assertArrayEquals(a.worthBySecond(), b.worthBySecond());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void eachTryEndsOnceAndCoreUseStaysWithinCapacityOfRandomFleets(long seed) {
        Random random = new Random(seed);
        int sidecars = 1 + random.nextInt(5);
        Fleet f = Fleets.fleet(
                sidecars, random.nextBoolean() ? Contract.Reporting.NONE : Contract.Reporting.WITH_ANSWERS);
        List<Fleet.Change> changes = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            double from = random.nextDouble() * 4000;
            changes.add(
                    random.nextBoolean()
                            ? new Fleet.Change(
                                    Fleet.ChangeKind.SLOWED,
                                    null,
                                    random.nextDouble(),
                                    random.nextDouble(),
                                    from,
                                    from + 2000,
                                    0)
                            : new Fleet.Change(
                                    Fleet.ChangeKind.ZONE_LOST,
                                    String.valueOf("abc".charAt(i - 1)),
                                    1,
                                    0,
                                    from,
                                    from + 2000,
                                    random.nextDouble() * 1500));
        }
        Fleet randomFleet = new Fleet(
                f.settings(),
                f.models(),
                f.zones(),
                1 + random.nextInt(12),
                f.work(),
                new Fleet.Front(
                        random.nextBoolean(),
                        1 + random.nextInt(20),
                        1 + random.nextInt(30),
                        20 * random.nextDouble(),
                        0.2,
                        5000,
                        random.nextBoolean() ? 0 : 6,
                        0.5,
                        2,
                        random.nextBoolean()),
                new Fleet.Sidecar(
                        random.nextDouble(),
                        5 + random.nextInt(200),
                        1 + random.nextInt(100),
                        250,
                        random.nextInt(3000)),
                f.shares(),
                new Fleet.Clients(1 + random.nextInt(3), 50, random.nextDouble()),
                changes);
        randomFleet.check();
        Outcome o = run(
                randomFleet,
                new Load(
                        Fleets.capacity(randomFleet) * 2 * random.nextDouble(),
                        List.of(0.5, 0.5),
                        List.of(new Load.Burst(1000, 1500, 5)),
                        6000),
                seed);
        assertEquals(o.offered(), o.inTime() + o.late() + o.refused() + o.failed(), "each try ends once");
        assertTrue(o.usage().cores() <= 1 + 1e-9, "busy: " + o.usage());
        assertTrue(o.worthServed() <= o.worthOffered());
    }

    @Test
    void inconsistentDescriptionIsRejectedWithItsField() {
        Fleet f = Fleets.fleet(3, Contract.Reporting.NONE);
        Fleet zones = new Fleet(
                f.settings(),
                f.models(),
                List.of(new Fleet.Zone("a", 0.5, 1)),
                3,
                f.work(),
                f.front(),
                f.sidecar(),
                f.shares(),
                f.clients(),
                List.of());
        assertTrue(assertThrows(IllegalArgumentException.class, zones::check)
                .getMessage()
                .startsWith("zones:"));
        Fleet nowhere = f.changes(List.of(new Fleet.Change(Fleet.ChangeKind.ZONE_LOST, "x", 1, 0, 0, 1, 0)));
        assertEquals(
                "changes: no zone x",
                assertThrows(IllegalArgumentException.class, nowhere::check).getMessage());
        for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertThrows(IllegalArgumentException.class, () -> new Distribution(bad, 0));
        }
    }
}
