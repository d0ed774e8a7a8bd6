package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Key leases in random scenarios of overlapping cuts, suspended processes, different clock rates, restarts, crashes,
 * drains and joins. No key may be held by two endpoints at a time, fences must increase with each owner, and each key
 * must be served after the faults have ended.
 *
 * <p>Guards against two faults that such scenarios have shown. First, when a sidecar's process and its endpoint had
 * both been replaced, the new endpoint was taken as proof that the node's earlier holdings had ended, although the
 * previous process had granted keys to this very endpoint. Second, a voter with a later vote of its own ended each term
 * of another holder after some seconds, so that keys stayed unserved.
 */
public class KeyLeaseTest {
    private static final int SCENARIOS = 30;
    private static final int SCENARIOS_WITH_FAULT = 40;
    /** The share of key checks in which an endpoint held the key; below 1 because of the many faults. */
    private static final double MIN_SERVED_SHARE = 0.8;

    private Level originalLevel;

    @BeforeClass
    public void reduceLogging() {
        Logger root = Logger.getLogger("");
        originalLevel = root.getLevel();
        root.setLevel(Level.WARNING);
    }

    @AfterClass(alwaysRun = true)
    public void restoreLogging() {
        Logger.getLogger("").setLevel(originalLevel);
    }

    private static KeyOutcome assertNoViolation(long seed) {
        KeyOutcome outcome = KeyMesh.run(KeyScenario.random(seed));
        assertNull(outcome.violation, "seed " + seed);
        assertNull(outcome.fenceViolation, "seed " + seed);
        assertEquals(outcome.unservedAtEnd, 0, "unserved keys after the faults have ended, seed " + seed);
        return outcome;
    }

    @Test
    public void noKeyIsHeldTwiceAndAllKeysAreServedAfterTheFaults() {
        double served = 0;
        for (long seed = 1; seed <= SCENARIOS; seed++) {
            KeyOutcome outcome = assertNoViolation(seed);
            served += (double) outcome.servedChecks / outcome.totalChecks / SCENARIOS;
        }
        assertTrue(served >= MIN_SERVED_SHARE, "served " + served);
    }

    private static boolean isDetected(KeyMesh.Fault fault) {
        for (long seed = 1001; seed <= 1000 + SCENARIOS_WITH_FAULT; seed++) {
            KeyOutcome outcome = KeyMesh.run(KeyScenario.random(seed), fault);
            if (outcome.violation != null) {
                return true;
            }
        }
        return false;
    }

    @Test
    public void injectedFaultsAreDetected() {
        for (KeyMesh.Fault fault : KeyMesh.Fault.values()) {
            assertEquals(isDetected(fault), fault != KeyMesh.Fault.NONE, fault.toString());
        }
    }
}
