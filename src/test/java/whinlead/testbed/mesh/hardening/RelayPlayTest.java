package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Schedules of resets, silences and surplus answers; and that they find what is planted. */
public class RelayPlayTest {
    private static final int SCHEDULES = 200;
    private static final int WITHIN = 1000;

    @Test
    public void nothingIsBrokenInSomeHundredSchedules() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(RelayPlay.play(seed, RelayPlay.Bug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void theSameSeedPlaysTheSame() {
        assertEquals(RelayPlay.play(7, RelayPlay.Bug.NONE), RelayPlay.play(7, RelayPlay.Bug.NONE));
    }

    @DataProvider
    public Object[][] planted() {
        return Arrays.stream(RelayPlay.Bug.values())
                .filter(b -> b != RelayPlay.Bug.NONE)
                .map(b -> new Object[] {b})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "planted")
    public void whatIsPlantedIsFound(RelayPlay.Bug bug) {
        long seed = 1;
        while (seed <= WITHIN && RelayPlay.play(seed, bug).broken().isEmpty()) {
            seed++;
        }
        assertTrue(seed <= WITHIN, bug + " is not found in " + WITHIN + " schedules");
    }
}
