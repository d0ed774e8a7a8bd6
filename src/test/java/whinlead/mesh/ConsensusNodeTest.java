package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.ConsensusSimulation;

/** What control nodes agree on outlasts the losses that are borne, on the real consensus nodes under a driven clock. */
public class ConsensusNodeTest {
    private static final int SCHEDULES = 500;
    private static final int FOUND_WITHIN = 1000;

    @Test
    public void nothingAcknowledgedIsLostInAnySchedule() {
        int acks = 0;
        for (long seed = 0; seed < SCHEDULES; seed++) {
            ConsensusSimulation.Outcome o = ConsensusSimulation.play(seed, ConsensusSimulation.Bug.NONE);
            assertEquals(o.broken(), List.of(), "schedule " + seed);
            acks += o.acks();
        }
        // Schedules in which hardly anything is taken would show nothing.
        assertTrue(acks > SCHEDULES * 10, acks + " calls were acknowledged");
    }

    @Test
    public void sayingBeforeSyncingIsFound() {
        assertTrue(found(ConsensusSimulation.Bug.UNSYNCED));
    }

    @Test
    public void votingOnAfterALostDiskIsFound() {
        assertTrue(found(ConsensusSimulation.Bug.VOTES_AFTER_WIPE));
    }

    private static boolean found(ConsensusSimulation.Bug bug) {
        for (long seed = 0; seed < FOUND_WITHIN; seed++) {
            if (!ConsensusSimulation.play(seed, bug).broken().isEmpty()) {
                return true;
            }
        }
        return false;
    }
}
