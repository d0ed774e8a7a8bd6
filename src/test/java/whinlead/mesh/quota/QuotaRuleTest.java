package whinlead.mesh.quota;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.EnumSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The rule QUOTA over whole scenarios: no tenant gets more than its limit allows, whatever faults occur. */
public class QuotaRuleTest {
    private static final int INCIDENT_SEEDS = 20;
    private static final int RANDOM_SEEDS = 200;
    private static final int FAULT_SEEDS = 20;

    @Test
    public void incidentInc1StaysWithinTheLimit() {
        for (long seed = 0; seed < INCIDENT_SEEDS; seed++) {
            assertWithinLimit(QuotaScenario.incidentInc1(seed, true, true));
        }
    }

    @Test
    public void randomScenariosStayWithinTheLimit() {
        for (long seed = 0; seed < RANDOM_SEEDS; seed++) {
            assertWithinLimit(QuotaScenario.random(seed));
        }
    }

    /** Verifies the check itself: with a safeguard of the leases removed, it must fail within a few scenarios. */
    @Test(dataProvider = "faults")
    public void injectedFaultIsDetected(QuotaMesh.Fault fault) {
        for (long seed = 0; seed < FAULT_SEEDS; seed++) {
            boolean keepsDisk = fault == QuotaMesh.Fault.FORGET_LESSEES;
            QuotaScenario scenario = QuotaScenario.randomRestartDuringCut(seed, keepsDisk);
            assertWithinLimit(scenario);
            if (QuotaMesh.simulate(scenario, fault).maxInWindow() > scenario.maxPerWindow()) {
                return;
            }
        }
        fail(fault + " was not detected in " + FAULT_SEEDS + " scenarios");
    }

    /** All faults except {@code NONE}. */
    @DataProvider
    public Object[] faults() {
        return EnumSet.complementOf(EnumSet.of(QuotaMesh.Fault.NONE)).toArray();
    }

    private static void assertWithinLimit(QuotaScenario scenario) {
        QuotaMesh.Outcome outcome = QuotaMesh.simulate(scenario);
        assertTrue(
                outcome.maxInWindow() <= scenario.maxPerWindow(),
                outcome.maxInWindow() + " in a window, allowed " + scenario.maxPerWindow() + ", seed "
                        + scenario.seed());
    }
}
