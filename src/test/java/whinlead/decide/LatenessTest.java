package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** From which time an answer counts as late, and how the usual time falls and rises. The latency target is 500 ms. */
class LatenessTest {
    private final Lateness lateness =
            new Lateness(List.of(Rig.requestClass("k", 1, Contract.Effect.SAFE, Contract.Group.ALL)));

    private void recordAnswers(int count, double durationMs, double refusedShare) {
        for (int i = 0; i < count; i++) {
            lateness.recordAnswer(durationMs, 0);
            lateness.endPeriod(refusedShare, 0);
        }
    }

    @Test
    void answersUnderATenthOfTheTargetAreNotLate() {
        recordAnswers(500, 0.2, 0);
        assertEquals(50, lateness.usualMs(0));
        assertEquals(0, lateness.degree(50, 0));
        assertEquals(0.5, lateness.degree(150, 0));
        assertEquals(1, lateness.degree(250, 0));
    }

    @Test
    void ownLoopDelayIsNotCountedAsLateness() {
        recordAnswers(500, 0.2, 0);
        lateness.endPeriod(0, 100);
        assertEquals(0, lateness.degree(150, 0));
        recordAnswers(100, 0.2, 0);
        assertTrue(lateness.degree(150, 0) > 0.49, "loop delay no longer counts after 100 periods");
    }

    @Test
    void usualTimeFallsAtOnceAndRisesOnlyWhileMostIsRefused() {
        recordAnswers(500, 100, 0);
        assertEquals(100, lateness.usualMs(0), 1);
        recordAnswers(100, 180, 0);
        assertTrue(
                lateness.usualMs(0) < 105, "usual time rises little while nothing is refused: " + lateness.usualMs(0));
        recordAnswers(60, 180, 1);
        assertEquals(180, lateness.usualMs(0), 5);
        recordAnswers(100, 90, 0);
        assertEquals(90, lateness.usualMs(0), 1);
    }

    @Test
    void usualTimeRisesToFourTenthsOfTheTargetAtMost() {
        recordAnswers(500, 100, 0);
        recordAnswers(500, 450, 1);
        assertTrue(lateness.usualMs(0) < 0.4 * 500 * 1.2, "answers count as late before they reach the latency target");
    }
}
