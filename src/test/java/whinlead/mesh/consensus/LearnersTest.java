package whinlead.mesh.consensus;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Which slot a learner needs on its disk before it may get a vote. */
public class LearnersTest {
    private static final List<String> VOTERS = List.of("a#0", "b#0", "c#0");
    private static final List<String> CAUGHT_UP = List.of("d#1");

    private static List<String> caughtUp(Learners learners, double nowMs, long slot) {
        learners.voteRequested(nowMs, "d#1", slot);
        return learners.caughtUp(nowMs, VOTERS);
    }

    @Test
    public void learnerNeedsNewestSlotWhenNothingIsBeingDecided() {
        Learners learners = new Learners();
        learners.decisionLearned(0, 7);
        learners.decisionLearned(10, 8);
        assertEquals(caughtUp(learners, 510, 7), List.of());
        assertEquals(caughtUp(learners, 510, 8), CAUGHT_UP);
    }

    @Test
    public void learnerMayLagHalfASecondDuringStreamOfDecisions() {
        Learners learners = new Learners();
        for (int slot = 0; slot <= 100; slot++) {
            learners.decisionLearned(slot * 12, slot);
        }
        assertEquals(caughtUp(learners, 1200, 57), List.of());
        assertEquals(caughtUp(learners, 1200, 58), CAUGHT_UP);
        assertEquals(learners.caughtUp(2200, VOTERS), List.of(), "its request is a second old");
    }

    @Test
    public void gapInOwnDecisionsRequiresNewestSlot() {
        Learners learners = new Learners();
        learners.decisionLearned(0, 7);
        learners.decisionLearned(10_000, 90);
        assertEquals(caughtUp(learners, 10_010, 7), List.of());
        assertEquals(caughtUp(learners, 10_010, 89), List.of());
        assertEquals(caughtUp(learners, 10_010, 90), CAUGHT_UP);
    }

    @Test
    public void voterIsNotListedAsLearner() {
        Learners learners = new Learners();
        learners.decisionLearned(0, 7);
        learners.voteRequested(1, "a#0", 7);
        assertEquals(learners.caughtUp(2, VOTERS), List.of());
    }
}
