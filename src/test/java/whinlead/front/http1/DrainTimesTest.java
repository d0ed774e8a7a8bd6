package whinlead.front.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A planned end: in its order, and with time for the last answers before the kill. */
class DrainTimesTest {
    @ParameterizedTest
    @ValueSource(doubles = {50, 300, 500, 1000, 2500, 3000, 5000, 60_000})
    void theLastAnswersHaveHalfASecondOrAllThatThereIs(double deadline) {
        DrainTimes t = DrainTimes.of(deadline);
        assertTrue(t.acceptUntil() >= 400);
        assertTrue(t.acceptUntil() <= t.closeIdle() && t.closeIdle() <= t.failAll());
        double kill = Math.min(3000, deadline) + 700;
        assertEquals(kill, DrainTimes.kill(deadline));
        assertTrue(kill - t.failAll() >= Math.min(500, kill - t.acceptUntil()));
    }
}
