package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against requests at an endpoint whose departure was acknowledged by a process that has ended since, under
 * seeded kills of the sidecar and the control nodes, cuts, and heartbeats that arrive late.
 */
public class DepartureMeshTest {
    private static final int SCHEDULES = 500;
    private static final double TROUBLE_MS = 60_000;
    private static final double CALM_MS = 15_000;
    private static final long FIRST_SEED = 7_100_001;

    @Test
    public void noEndpointServesAfterItsAcknowledgedDeparture() throws Exception {
        int acknowledgements = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            try (DepartureMesh mesh = new DepartureMesh(seed, DepartureMesh.Fault.NONE)) {
                mesh.run(TROUBLE_MS, CALM_MS);
                assertEquals(mesh.openTooLate(), 0, "seed " + seed);
                assertTrue(mesh.serves(), "the newest endpoint serves in calm times, seed " + seed);
                acknowledgements += mesh.acknowledgements();
            }
        }
        assertTrue(acknowledgements > SCHEDULES, acknowledgements + " departures were acknowledged");
    }

    @Test
    public void processThatIgnoresEarlierProcessesIsFound() throws Exception {
        assertTrue(isFound(DepartureMesh.Fault.IGNORES_EARLIER_PROCESSES));
    }

    @Test
    public void acknowledgementBeforeTheDepartureIsStoredIsFound() throws Exception {
        assertTrue(isFound(DepartureMesh.Fault.ACKNOWLEDGES_AT_ONCE));
    }

    @Test
    public void controlNodesThatKeepDeparturesInMemoryAreFound() throws Exception {
        assertTrue(isFound(DepartureMesh.Fault.KEPT_IN_MEMORY));
    }

    private static boolean isFound(DepartureMesh.Fault fault) throws Exception {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            try (DepartureMesh mesh = new DepartureMesh(seed, fault)) {
                mesh.run(TROUBLE_MS, CALM_MS);
                if (mesh.openTooLate() > 0) {
                    return true;
                }
            }
        }
        return false;
    }
}
