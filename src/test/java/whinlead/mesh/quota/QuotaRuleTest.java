package whinlead.mesh.quota;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.util.EnumSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The users' rule QUOTA over whole days: no tenant gets more than its limit allows, whatever happens to the mesh. */
public class QuotaRuleTest {
    private static final int INCIDENT_SEEDS = 20;
    private static final int DRAWN_DAYS = 200;
    private static final int FAULT_DAYS = 20;

    @Test
    public void onTheDayOfIncidentInc1TheTenantGetsNoMoreThanItsLimit() {
        for (long seed = 0; seed < INCIDENT_SEEDS; seed++) {
            check(QuotaScenario.ofIncident(seed, true, true));
        }
    }

    @Test
    public void onAnyDayTheTenantGetsNoMoreThanItsLimit() {
        for (long seed = 0; seed < DRAWN_DAYS; seed++) {
            check(QuotaScenario.draw(seed));
        }
    }

    /** The check is checked: what leases rest on, taken away, is found within a few days. */
    @Test(dataProvider = "faults")
    public void aFaultInTheLeasesIsFound(QuotaMesh.Fault fault) {
        for (long seed = 0; seed < FAULT_DAYS; seed++) {
            boolean keepsDisk = fault == QuotaMesh.Fault.FORGET_LESSEES;
            QuotaScenario scenario = QuotaScenario.drawRestartBehindACut(seed, keepsDisk);
            check(scenario);
            if (QuotaMesh.play(scenario, fault).mostInWindow() > scenario.allowed()) {
                return;
            }
        }
        fail(fault + " was not found on " + FAULT_DAYS + " days");
    }

    /** All faults but none. */
    @DataProvider
    public Object[] faults() {
        return EnumSet.complementOf(EnumSet.of(QuotaMesh.Fault.NONE)).toArray();
    }

    private static void check(QuotaScenario scenario) {
        QuotaMesh.Outcome outcome = QuotaMesh.play(scenario);
        assertTrue(
                outcome.mostInWindow() <= scenario.allowed(),
                outcome.mostInWindow() + " in a window, allowed " + scenario.allowed() + ", seed " + scenario.seed());
    }
}
