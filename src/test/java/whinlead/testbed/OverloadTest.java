package whinlead.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import whinlead.decide.Decide;

/** The decisions alone, under a driven clock: what recovers when there is room must still refuse when there is none. */
class OverloadTest {
    /** Of the best goodput at any load. */
    private static final double GOODPUT_KEPT = 0.9;
    /** Of what could be had by serving the highest worth first. */
    private static final double WORTH_KEPT = 0.9;

    @ParameterizedTest
    @EnumSource(Habit.class)
    void overloadRefusesEarlyAndLowestWorthFirst(Habit habit) {
        double best = 0;
        for (double multiple : OverloadDay.MULTIPLES) {
            OverloadDay.Result r = OverloadDay.play(Decide::new, multiple, habit, 5);
            assertEquals(Map.of(), r.ledger().broken(), "at " + multiple);
            best = Math.max(best, r.goodput());
            assertTrue(r.worth() > WORTH_KEPT, "worth at " + multiple + ": " + r.worth());
            if (multiple > 1) {
                assertTrue(r.goodput() > GOODPUT_KEPT * best, "goodput at " + multiple + ": " + r.goodput());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Habit.class)
    void theStandInShowsWhatWithoutRefusalsIsLost(Habit habit) {
        assertTrue(OverloadDay.play(Policies::leastConnections, 1.5, habit, 5).goodput() < 0.1);
        assertTrue(OverloadDay.play(Policies::aimd, 1.5, habit, 5).goodput() > GOODPUT_KEPT);
    }
}
