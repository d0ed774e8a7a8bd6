package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** From when an answer counts as late, and how that reference falls and rises. The aim is 500 ms. */
class LatenessTest {
    private final Lateness lateness = new Lateness(List.of(Rig.kind("k", 1, Contract.Effect.SAFE, Contract.Group.ALL)));

    private void answers(int count, double took, double refused) {
        for (int i = 0; i < count; i++) {
            lateness.answered(took, 0);
            lateness.period(refused, 0);
        }
    }

    @Test
    void noTimeUnderATenthOfTheAimIsLate() {
        answers(500, 0.2, 0);
        assertEquals(50, lateness.usual(0));
        assertEquals(0, lateness.of(50, 0));
        assertEquals(0.5, lateness.of(150, 0));
        assertEquals(1, lateness.of(250, 0));
    }

    @Test
    void theLoopsOwnDelayIsNotTheServers() {
        answers(500, 0.2, 0);
        lateness.period(0, 100);
        assertEquals(0, lateness.of(150, 0));
        answers(100, 0.2, 0);
        assertTrue(lateness.of(150, 0) > 0.49, "and is forgotten");
    }

    @Test
    void theReferenceFallsAtOnceAndRisesOnlyWhileMostIsRefused() {
        answers(500, 100, 0);
        assertEquals(100, lateness.usual(0), 1);
        answers(100, 180, 0);
        assertTrue(lateness.usual(0) < 105, "hardly, where nothing is refused: " + lateness.usual(0));
        answers(60, 180, 1);
        assertEquals(180, lateness.usual(0), 5);
        answers(100, 90, 0);
        assertEquals(90, lateness.usual(0), 1);
    }

    @Test
    void theReferenceRisesNoFurtherThanToFourTenthsOfTheAim() {
        answers(500, 100, 0);
        answers(500, 450, 1);
        assertTrue(lateness.usual(0) < 0.4 * 500 * 1.2, "late answers count again before they are worthless");
    }
}
