package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays schedules of damaged answers, configurations and SIGTERMs, and checks that they detect planted faults. */
public class AnswerPlayTest {
    private static final int SCHEDULES = 150;
    private static final int MAX_SCHEDULES = 20;

    @Test
    public void schedulesWithoutPlantedFaultsFindNoViolation() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(AnswerPlay.play(seed, AnswerBug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void requestsArrivingAtProcessEndAreRefusedNotCutOff() {
        for (long seed : new long[] {2900, 3411, 102_746}) {
            assertEquals(AnswerPlay.play(seed, AnswerBug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void sameSeedGivesSameOutcome() {
        assertEquals(AnswerPlay.play(7, AnswerBug.NONE), AnswerPlay.play(7, AnswerBug.NONE));
    }

    @DataProvider
    public Object[][] planted() {
        return Arrays.stream(AnswerBug.values())
                .filter(b -> b != AnswerBug.NONE)
                .map(b -> new Object[] {b})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "planted")
    public void plantedFaultIsFound(AnswerBug bug) {
        long seed = 1;
        while (seed <= MAX_SCHEDULES && AnswerPlay.play(seed, bug).broken().isEmpty()) {
            seed++;
        }
        assertTrue(seed <= MAX_SCHEDULES, bug + " is not detected in " + MAX_SCHEDULES + " schedules");
    }
}
