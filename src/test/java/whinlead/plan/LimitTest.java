package whinlead.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Which limit binds first, each in a fleet that is made short of it. */
class LimitTest {
    private static final double LENGTH = 6000;

    private static List<Limit.Bound> ramp(Fleet f) {
        Load load = Fleets.load(f, 1, LENGTH);
        return Limit.ramp(
                f,
                (fleet, times) ->
                        List.of(new Simulation(fleet, 1).play(load.times(times).arrivals(1))),
                0.3,
                1.1,
                1.6);
    }

    private static void first(Limit wanted, Fleet f) {
        List<Limit.Bound> found = ramp(f);
        assertEquals(wanted, found.get(0).limit(), found.toString());
        for (int i = 1; i < found.size(); i++) {
            assertTrue(found.get(i).times() >= found.get(i - 1).times()
                    && found.get(i).behind() >= 0);
        }
    }

    private static Fleet plain() {
        return Fleets.fleet(3, Contract.Reporting.WITH_ANSWERS);
    }

    @Test
    void theCoresOfAFleetThatIsShortOfNothingElse() {
        Fleet f = plain();
        List<Limit.Bound> found = ramp(f);
        assertEquals(Limit.CORES, found.get(0).limit(), found.toString());
        assertTrue(found.get(0).times() > 0.9 && found.get(0).times() < 1.3, "near the capacity: " + found);
    }

    @Test
    void aRoomOfLittleMoreThanTheCores() {
        first(Limit.ROOM, plain().with(plain().front().room(1)));
    }

    @Test
    void connections() {
        first(Limit.CONNECTIONS, plain().with(plain().sidecar().connections(4)));
        first(Limit.CONNECTIONS, plain().with(plain().front().connections(2)));
    }

    @Test
    void handshakesWhereConnectionsAreNotKept() {
        Fleet f = plain().with(plain().front().handshake(15));
        Fleet.Sidecar s = f.sidecar();
        first(Limit.HANDSHAKES, f.with(new Fleet.Sidecar(s.work(), s.places(), s.connections(), 250, 1)));
    }

    @Test
    void theProcessorOfASidecar() {
        first(Limit.SIDECAR, plain().with(plain().sidecar().work(6)));
    }

    @Test
    void placesForClients() {
        first(Limit.PLACES, plain().with(plain().sidecar().places(8)));
    }

    @Test
    void clientsThatComeBackAreLoadUntilTheyAreTakenOut() {
        Fleet f = plain().with(new Fleet.Clients(4, 50, 0));
        Load load = Fleets.load(f, 1.5, LENGTH);
        double reading = Limit.RETRIES.reading(new Simulation(f, 1).play(load.arrivals(1)));
        assertTrue(reading > Limit.RETRIES.binds(), "tries beyond the first: " + reading);
        Fleet once = Limit.RETRIES.lift(f);
        assertEquals(0, Limit.RETRIES.reading(new Simulation(once, 1).play(load.arrivals(1))));
    }

    @Test
    void aFleetThatIsFineAtTheMeanAndDoesNotComeBackFromABurstIsFound() {
        // Half of a sidecar's processor is used; what waits for it past its deadline is asked four times.
        Fleet f = plain().with(plain().sidecar().work(2.5)).with(new Fleet.Clients(4, 50, 0));
        Load mean = Fleets.load(f, 0.5, 40_000);
        Outcome steady = new Simulation(f, 1).play(mean.arrivals(1));
        assertTrue(steady.worth() > 0.98, "fine at the mean: " + steady.worth());
        Recovery stuck = burst(f, mean);
        Recovery sound = burst(f.with(new Fleet.Clients(1, 50, 0)), mean);
        assertTrue(Double.isInfinite(stuck.seconds()), "it does not come back: " + stuck);
        assertTrue(sound.seconds() < 15, "where clients ask once, it does: " + sound);
    }

    @Test
    void frontsThatThrashComeBackSinceWhatTheyHoldIsLetRunOut() {
        Fleet f = plain().with(new Fleet.Front(false, 60, 500, 2, 0.2, 20_000, 5, 0.3, 0.2, false))
                .with(new Fleet.Clients(3, 50, 0));
        Recovery r = burst(f, Fleets.load(f, 0.5, 40_000));
        assertTrue(r.worst() < 0.2, "it was hit: " + r);
        assertTrue(r.seconds() < 8, "and comes back: " + r);
    }

    private static Recovery burst(Fleet f, Load mean) {
        Load burst = new Load(mean.perSecond(), mean.mix(), List.of(new Load.Burst(8000, 9500, 8)), mean.length());
        return Recovery.of(new Simulation(f, 1).play(burst.arrivals(1)).worthBySecond(), 8000, 9500);
    }

    @Test
    void recoveryIsReadOffSeconds() {
        double[] s = {1, 1, 1, 0.5, 0.2, 0.6, 1, 0.9, 1, 1, 1};
        Recovery r = Recovery.of(s, 3000, 4000);
        assertEquals(1, r.before());
        assertEquals(0.2, r.worst());
        assertEquals(2, r.seconds(), "a single bad second later is chance");
        assertTrue(Double.isInfinite(
                Recovery.of(new double[] {1, 1, 0, 0, 0, 0}, 2000, 3000).seconds()));
    }
}
