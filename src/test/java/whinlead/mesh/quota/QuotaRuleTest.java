package whinlead.mesh.quota;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The users' rule QUOTA over whole days: no tenant gets more than its limit allows, whatever happens to the mesh. */
public class QuotaRuleTest {
    private static final int INCIDENT_SEEDS = 20;
    private static final int DRAWN_DAYS = 120;

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

    private static void check(QuotaScenario scenario) {
        QuotaMesh.Outcome outcome = QuotaMesh.play(scenario);
        assertTrue(
                outcome.mostInWindow() <= scenario.allowed(),
                outcome.mostInWindow() + " in a window, allowed " + scenario.allowed() + ", seed " + scenario.seed());
    }
}
