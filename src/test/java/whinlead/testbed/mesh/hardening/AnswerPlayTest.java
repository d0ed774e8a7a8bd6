package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Schedules of spoilt answers, configurations and SIGTERMs; and that they find what is planted. */
public class AnswerPlayTest {
    private static final int SCHEDULES = 150;
    private static final int WITHIN = 20;

    @Test
    public void nothingIsBrokenInSomeHundredSchedules() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(AnswerPlay.play(seed, AnswerBug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void whatComesAsTheProcessEndsIsRefusedAndNotCutOff() {
        for (long seed : new long[] {2900, 3411, 102_746}) {
            assertEquals(AnswerPlay.play(seed, AnswerBug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void theSameSeedPlaysTheSame() {
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
    public void whatIsPlantedIsFound(AnswerBug bug) {
        long seed = 1;
        while (seed <= WITHIN && AnswerPlay.play(seed, bug).broken().isEmpty()) {
            seed++;
        }
        assertTrue(seed <= WITHIN, bug + " is not found in " + WITHIN + " schedules");
    }
}
