package whinlead.mesh.consensus;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Which slot a learner needs on its disk before it may get a vote. */
public class LearnersTest {
    private static final List<String> VOTERS = List.of("a#0", "b#0", "c#0");
    private static final List<String> CAUGHT_UP = List.of("d#1");

    private static List<String> caughtUp(Learners learners, double now, long slot) {
        learners.requested(now, "d#1", slot);
        return learners.caughtUp(now, VOTERS);
    }

    @Test
    public void whereNothingIsDecidedItNeedsTheNewest() {
        Learners learners = new Learners();
        learners.learned(0, 7);
        learners.learned(10, 8);
        assertEquals(caughtUp(learners, 510, 7), List.of());
        assertEquals(caughtUp(learners, 510, 8), CAUGHT_UP);
    }

    @Test
    public void whileDecisionsFollowEachOtherItMayLackThoseOfHalfASecond() {
        Learners learners = new Learners();
        for (int slot = 0; slot <= 100; slot++) {
            learners.learned(slot * 12, slot);
        }
        assertEquals(caughtUp(learners, 1200, 57), List.of());
        assertEquals(caughtUp(learners, 1200, 58), CAUGHT_UP);
        assertEquals(learners.caughtUp(2200, VOTERS), List.of(), "its word is a second old");
    }

    @Test
    public void whatThisControlNodeMissedItselfALearnerMayNotLack() {
        Learners learners = new Learners();
        learners.learned(0, 7);
        learners.learned(10_000, 90);
        assertEquals(caughtUp(learners, 10_010, 7), List.of());
        assertEquals(caughtUp(learners, 10_010, 89), List.of());
        assertEquals(caughtUp(learners, 10_010, 90), CAUGHT_UP);
    }

    @Test
    public void oneThatHasAVoteIsNoLearner() {
        Learners learners = new Learners();
        learners.learned(0, 7);
        learners.requested(1, "a#0", 7);
        assertEquals(learners.caughtUp(2, VOTERS), List.of());
    }
}
