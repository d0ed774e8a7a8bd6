package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import whinlead.Contract;
import whinlead.decide.Decide;

/** The stand-ins under a driven clock: what their scripts say happens, and the same seed gives the same day. */
class DrivenDayTest {
    private static final double LENGTH = 6000;
    private static final Contract.Settings SETTINGS = Settings.of(
            true, Settings.type("read", 5, Contract.Effect.SAFE), Settings.type("write", 2, Contract.Effect.UNSAFE));

    private static Ledger play(List<EndpointScript> fleet, long seed) {
        return new DrivenDay(
                        SETTINGS,
                        Decide::new,
                        fleet,
                        List.of(Load.steady(0, 200, Habit.NONE), Load.steady(1, 100, Habit.NONE)),
                        LENGTH,
                        1,
                        seed)
                .play();
    }

    private static EndpointScript endpoint(String id) {
        return new EndpointScript(id, 8, 50, ServiceLaw.exponential(10));
    }

    @ParameterizedTest
    @EnumSource(EndpointScript.Kind.class)
    void theRulesHoldUnderEachFaultAndTheFaultShows(EndpointScript.Kind fault) {
        List<EndpointScript> fleet = List.of(
                endpoint("a").with(fault, 2000, 4000),
                endpoint("b").with(fault, 2000, 4000),
                endpoint("c").with(fault, 2000, 4000));
        Ledger ledger = play(fleet, 3);
        assertEquals(Map.of(), ledger.broken());
        assertEquals(0, ledger.count(2100, 3900).served(), "while all have it nothing is served");
        assertTrue(ledger.count(500, 1900).refusedShare() < 0.01, "before");
        assertTrue(ledger.count(1000, 1900).served() > 200, "before");
    }

    @Test
    void theSameSeedGivesTheSameDay() {
        List<EndpointScript> fleet = List.of(endpoint("a"), endpoint("b"));
        assertEquals(play(fleet, 5).count(0, LENGTH), play(fleet, 5).count(0, LENGTH));
    }

    @Test
    void aQueueThatIsFullTurnsAwayUnseen() {
        EndpointScript tiny = new EndpointScript("a", 1, 0, ServiceLaw.fixed(50));
        Ledger ledger = new DrivenDay(
                        SETTINGS,
                        Policies::random,
                        List.of(tiny),
                        List.of(Load.steady(1, 200, Habit.NONE)),
                        LENGTH,
                        0,
                        1)
                .play();
        Ledger.Count c = ledger.count(0, LENGTH);
        assertEquals(Map.of(), ledger.broken());
        // Without a queue the core stands idle for a mean gap of arrivals after each request (Erlang's loss formula).
        assertEquals(LENGTH / (50 + 1000 / 200), c.served(), 0.05 * c.served(), "what one core can do");
        assertEquals(c.asked() - c.served(), c.refused());
    }
}
