package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import whinlead.consult.Tally;

/** A short day of proxies that do all that proxies do wrong, over real connections on loopback. */
class ProcessorDayTest {
    @ParameterizedTest
    @EnumSource(AgentFront.class)
    void eachRequestHasOneEndAndNothingUnsafeRunsTwice(AgentFront front) throws Exception {
        ProcessorDay.warmUp(front, 8);
        ProcessorDay.Result r = new ProcessorDay(front, 2000, 9).play();
        assertEquals(Map.of(), r.ledger().broken());
        assertEquals(0, r.sentAfterGrace());
        assertEquals(0, r.openLeft());
        assertEquals(0, r.faults());
        // What it is for did happen.
        assertTrue(r.openAtDeath() > 0);
        assertTrue(r.openAtRestart() > 0);
        assertTrue(r.tally().get(Tally.Kind.JOINED) > 0);
        assertTrue(r.tally().get(Tally.Kind.LATE) > 0);
        assertTrue(r.tally().get(Tally.Kind.NOT_REPORTED) > 0);
    }
}
