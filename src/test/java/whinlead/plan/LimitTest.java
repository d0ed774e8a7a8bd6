package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Checks that each limit binds first in a fleet that lacks that resource, and that recovery is detected. */
class LimitTest {
    private static final double LENGTH_MS = 6000;

    private static List<Limit.BindingLimit> ramp(Fleet f) {
        Load load = Fleets.load(f, 1, LENGTH_MS);
        return Limit.ramp(
                f,
                (fleet, times) ->
                        List.of(new Simulation(fleet, 1).run(load.scaled(times).arrivals(1))),
                0.3,
                1.1,
                1.6);
    }

    private static void assertFirstLimit(Limit expected, Fleet f) {
        List<Limit.BindingLimit> found = ramp(f);
        assertEquals(expected, found.get(0).limit(), found.toString());
        for (int i = 1; i < found.size(); i++) {
            assertTrue(found.get(i).loadFactor() >= found.get(i - 1).loadFactor()
                    && found.get(i).relativeGap() >= 0);
        }
    }

    private static Fleet plainFleet() {
        return Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
    }

    @Test
    void coresBindFirstNearCapacity() {
        Fleet f = plainFleet();
        List<Limit.BindingLimit> found = ramp(f);
        assertEquals(Limit.CORES, found.get(0).limit(), found.toString());
        assertTrue(found.get(0).loadFactor() > 0.9 && found.get(0).loadFactor() < 1.3, "near the capacity: " + found);
    }

    @Test
    void roomBindsFirstWhenItBarelyExceedsCores() {
        assertFirstLimit(Limit.ROOM, plainFleet().with(plainFleet().front().withRoomPerCore(1)));
    }

    @Test
    void connectionsBindFirstWhenFewAreAllowed() {
        assertFirstLimit(
                Limit.CONNECTIONS, plainFleet().with(plainFleet().sidecar().connections(4)));
        assertFirstLimit(
                Limit.CONNECTIONS, plainFleet().with(plainFleet().front().connections(2)));
    }

    @Test
    void handshakesBindFirstWhenIdleConnectionsAreClosedAtOnce() {
        Fleet f = plainFleet().with(plainFleet().front().handshake(15));
        Fleet.Sidecar s = f.sidecar();
        assertFirstLimit(Limit.HANDSHAKES, f.with(new Fleet.Sidecar(s.work(), s.places(), s.connections(), 250, 1)));
    }

    @Test
    void sidecarProcessorBindsFirstWhenRequestsAreCostlyThere() {
        assertFirstLimit(Limit.SIDECAR, plainFleet().with(plainFleet().sidecar().work(6)));
    }

    @Test
    void placesBindFirstWhenSidecarsHaveFew() {
        assertFirstLimit(Limit.PLACES, plainFleet().with(plainFleet().sidecar().places(8)));
    }

    @Test
    void retriesBindUntilClientsAreLimitedToOneTry() {
        Fleet f = plainFleet().with(new Fleet.Clients(4, 50, 0));
        Load load = Fleets.load(f, 1.5, LENGTH_MS);
        double reading = Limit.RETRIES.reading(new Simulation(f, 1).run(load.arrivals(1)));
        assertTrue(reading > Limit.RETRIES.bindingReading(), "tries beyond the first: " + reading);
        Fleet once = Limit.RETRIES.withoutLimit(f);
        assertEquals(0, Limit.RETRIES.reading(new Simulation(once, 1).run(load.arrivals(1))));
    }

    @Test
    void fleetThatServesMeanLoadButDoesNotRecoverFromBurstIsDetected() {
        // At the mean, half of each sidecar's processor is used. Requests that miss the deadline there are tried four
        // times.
        Fleet f = plainFleet().with(plainFleet().sidecar().work(2.5)).with(new Fleet.Clients(4, 50, 0));
        Load mean = Fleets.load(f, 0.5, 40_000);
        Outcome steady = new Simulation(f, 1).run(mean.arrivals(1));
        assertTrue(steady.worth() > 0.98, "service at the mean load: " + steady.worth());
        Recovery stuck = recoveryFromBurst(f, mean);
        Recovery sound = recoveryFromBurst(f.with(new Fleet.Clients(1, 50, 0)), mean);
        assertTrue(Double.isInfinite(stuck.seconds()), "service does not recover: " + stuck);
        assertTrue(sound.seconds() < 15, "service recovers without retries: " + sound);
    }

    @Test
    void thrashingFrontsRecoverFromBurst() {
        Fleet f = plainFleet()
                .with(new Fleet.Front(false, 60, 500, 2, 0.2, 20_000, 5, 0.3, 0.2, false))
                .with(new Fleet.Clients(3, 50, 0));
        Recovery r = recoveryFromBurst(f, Fleets.load(f, 0.5, 40_000));
        assertTrue(r.worstShare() < 0.2, "service dropped during the burst: " + r);
        assertTrue(r.seconds() < 8, "service recovers: " + r);
    }

    private static Recovery recoveryFromBurst(Fleet f, Load mean) {
        Load burst = new Load(mean.perSecond(), mean.mix(), List.of(new Load.Burst(8000, 9500, 8)), mean.lengthMs());
        return Recovery.of(new Simulation(f, 1).run(burst.arrivals(1)).worthBySecond(), 8000, 9500);
    }

    @Test
    void recoveryIsComputedFromWorthBySecond() {
        double[] s = {1, 1, 1, 0.5, 0.2, 0.6, 1, 0.9, 1, 1, 1};
        Recovery r = Recovery.of(s, 3000, 4000);
        assertEquals(1, r.baseline());
        assertEquals(0.2, r.worstShare());
        assertEquals(2, r.seconds(), "a single bad second later is chance");
        assertTrue(Double.isInfinite(
                Recovery.of(new double[] {1, 1, 0, 0, 0, 0}, 2000, 3000).seconds()));
    }
}
