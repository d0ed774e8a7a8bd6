package whinlead.testbed.mesh.hardening;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays schedules of resets, silences and surplus answers, and checks that they detect planted faults. */
public class RelayPlayTest {
    private static final int SCHEDULES = 200;
    private static final int MAX_SCHEDULES = 1000;

    @Test
    public void schedulesWithoutPlantedFaultsFindNoViolation() {
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            assertEquals(RelayPlay.play(seed, RelayPlay.Bug.NONE).broken(), List.of(), "seed " + seed);
        }
    }

    @Test
    public void sameSeedGivesSameOutcome() {
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
    public void plantedFaultIsFound(RelayPlay.Bug bug) {
        long seed = 1;
        while (seed <= MAX_SCHEDULES && RelayPlay.play(seed, bug).broken().isEmpty()) {
            seed++;
        }
        assertTrue(seed <= MAX_SCHEDULES, bug + " is not detected in " + MAX_SCHEDULES + " schedules");
    }
}
