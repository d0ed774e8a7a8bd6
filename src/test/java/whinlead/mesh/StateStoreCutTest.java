package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.hardening.StateStorePlay;

/** A promise that was said outlasts losses of power, on the real state store and a modelled disk. */
public class StateStoreCutTest {
    private static final int SCHEDULES = 200;
    private static final int FOUND_WITHIN = 1000;

    @Test
    public void nothingSaidIsForgottenInAnySchedule() {
        // Side by side: a schedule mostly waits for the real disk.
        long states = LongStream.range(0, SCHEDULES)
                .parallel()
                .map(seed -> {
                    StateStorePlay.Outcome o = StateStorePlay.play(seed, StateStorePlay.Bug.NONE);
                    assertEquals(o.broken(), List.of(), "schedule " + seed);
                    return o.figures().getOrDefault("states", 0L);
                })
                .sum();
        // Schedules in which the power hardly ever goes would show nothing.
        assertTrue(states > SCHEDULES * 4, states + " states were opened");
    }

    @DataProvider
    public Object[][] planted() {
        return new Object[][] {
            {StateStorePlay.Bug.SYNCS_IGNORED},
            {StateStorePlay.Bug.FOLDER_SYNCS_IGNORED},
            {StateStorePlay.Bug.SAID_BEFORE_SYNC},
            {StateStorePlay.Bug.KILLED_LOG_NOT_SYNCED}
        };
    }

    @Test(dataProvider = "planted")
    public void aPlantedFaultIsFound(StateStorePlay.Bug bug) {
        assertTrue(
                LongStream.range(0, FOUND_WITHIN)
                        .anyMatch(
                                seed -> !StateStorePlay.play(seed, bug).broken().isEmpty()),
                bug + " was not found");
    }
}
