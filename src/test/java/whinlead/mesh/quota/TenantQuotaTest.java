package whinlead.mesh.quota;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Admitted requests of tenants with many sidecars and few requests at each of them. */
public class TenantQuotaTest {
    private static final int SIDECARS = 63;
    /** A tenant's usual demand as a fraction of its limit, and the factor by which a hot tenant's demand rises. */
    private static final double USUAL_FRACTION = 1 / 1.6;

    private static final double HOT_FACTOR = 9.6;
    /** Requests a second of one client. */
    private static final double CLIENT_PER_S = 1.4;

    private static final int DEMAND_FROM_MS = 15_000;
    private static final int HOT_FROM_MS = 27_000;
    private static final int HOT_TO_MS = 33_500;
    private static final int DURATION_MS = 39_000;
    private static final int STEADY_FROM_MS = 12_000;
    private static final int STEADY_TO_MS = 17_000;
    private static final int CONTROL_NODES = 5;
    /** Delay of a message in one direction. */
    private static final int MAX_DELAY_MS = 79;

    private static final int MIN_DELAY_MS = 20;

    @Test
    public void fewRequestsWithinTheLimitAreRefusedAndNoTenantExceedsTheRules() {
        for (double limit : new double[] {3, 8, 20, 100, 300}) {
            for (boolean isSpread : new boolean[] {false, true}) {
                int admissible = 0;
                int refused = 0;
                for (int seed = 0; seed < 4; seed++) {
                    QuotaScenario scenario = hotTenantScenario(limit, isSpread, seed);
                    QuotaMesh.Outcome outcome = QuotaMesh.simulate(scenario);
                    admissible += QuotaMesh.Outcome.sum(outcome.admissible(), 0, HOT_FROM_MS);
                    refused += QuotaMesh.Outcome.sum(outcome.refused(), 0, HOT_FROM_MS);
                    double partOfBound = outcome.maxInWindow() / scenario.maxPerWindow();
                    assertTrue(partOfBound <= 1, partOfBound + " of the bound, limit " + limit);
                }
                assertTrue(
                        refused <= admissible * 0.06 + 1,
                        refused + " of " + admissible + " refused, limit " + limit
                                + (isSpread ? ", spread over all sidecars" : ", from few clients"));
            }
        }
    }

    // Twelve seconds of usual demand, then a hot tenant; each message is delayed on the way to the control node and
    // back.
    private static QuotaScenario hotTenantScenario(double limit, boolean isSpread, int seed) {
        Random random = new Random(seed);
        double usualPerS = limit * USUAL_FRACTION;
        double[] weights = new double[SIDECARS];
        int clients = isSpread ? SIDECARS : (int) Math.max(1, Math.round(usualPerS / CLIENT_PER_S));
        for (int i = 0; i < clients; i++) {
            weights[isSpread ? i : random.nextInt(SIDECARS)] += 1.0 / clients;
        }
        return new QuotaScenario(
                seed,
                SIDECARS,
                CONTROL_NODES,
                limit,
                limit,
                usualPerS,
                List.of(
                        new QuotaScenario.Surge(0, DEMAND_FROM_MS, 0),
                        new QuotaScenario.Surge(HOT_FROM_MS, HOT_TO_MS, HOT_FACTOR)),
                weights,
                List.of(),
                List.of(),
                MIN_DELAY_MS,
                MAX_DELAY_MS,
                0,
                DURATION_MS);
    }

    @Test
    public void admittedRequestsAddUpToTheLimitForAnyDistribution() {
        double limit = 60;
        int sidecars = 10;
        for (double[] weights : List.of(evenWeights(sidecars), allAtFirst(sidecars), nearlyNoneAtFirst(sidecars))) {
            for (double demandFactor : new double[] {0.5, 0.95, 8}) {
                QuotaScenario scenario =
                        steadyScenario(limit, weights, limit * demandFactor, 1000 + (int) (demandFactor * 10));
                int admitted =
                        QuotaMesh.Outcome.sum(QuotaMesh.simulate(scenario).admitted(), STEADY_FROM_MS, STEADY_TO_MS);
                double demandInWindow = limit * demandFactor * QuotaScenario.WINDOW_S;
                assertTrue(admitted <= scenario.maxPerWindow(), admitted + " of at most " + scenario.maxPerWindow());
                // No part of the limit may stay unused while requests for it are refused.
                assertTrue(
                        admitted >= Math.min(demandInWindow, limit * QuotaScenario.WINDOW_S) * 0.9,
                        admitted + " of " + demandInWindow);
            }
        }
    }

    private static double[] evenWeights(int sidecars) {
        double[] weights = new double[sidecars];
        Arrays.fill(weights, 1.0 / sidecars);
        return weights;
    }

    private static double[] allAtFirst(int sidecars) {
        double[] weights = new double[sidecars];
        weights[0] = 1;
        return weights;
    }

    private static double[] nearlyNoneAtFirst(int sidecars) {
        double[] weights = new double[sidecars];
        Arrays.fill(weights, 0.99 / (sidecars - 1));
        weights[0] = 0.01;
        return weights;
    }

    // Constant demand for some seconds and one window more.
    private static QuotaScenario steadyScenario(double limit, double[] weights, double perS, int seed) {
        return new QuotaScenario(
                seed,
                weights.length,
                3,
                limit,
                limit,
                perS,
                List.of(),
                weights,
                List.of(),
                List.of(),
                1,
                3,
                0,
                STEADY_TO_MS);
    }

    @Test
    public void demandTotalsAddUpTheLastReportOfEachSidecar() {
        DemandTotals totals = new DemandTotals();
        Random random = new Random(9);
        Map<String, Map<String, Double>> lastReports = new HashMap<>();
        for (int i = 0; i < 2000; i++) {
            String node = "n" + random.nextInt(9);
            Map<String, Double> report = new HashMap<>();
            for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
                report.put("t" + random.nextInt(6), random.nextDouble() * 100);
            }
            lastReports.put(node, report);
            List<TenantDemand> demands = new ArrayList<>();
            report.forEach((tenant, perS) -> demands.add(new TenantDemand(tenant, perS)));
            totals.report(i, node, demands);
            Map<String, Double> expected = new HashMap<>();
            lastReports.values().forEach(m -> m.forEach((t, perS) -> expected.merge(t, perS, Double::sum)));
            Map<String, Double> actual = new HashMap<>();
            totals.totalsFor(node).forEach(u -> actual.put(u.tenant(), u.perSecond()));
            assertEquals(actual.keySet(), expected.keySet());
            expected.forEach((t, perS) -> assertEquals(actual.get(t), perS, 1e-6));
        }
        totals.report(9000, "n0", List.of());
        assertEquals(totals.reportingSidecars(), 1);
        assertTrue(totals.totalsFor("n0").isEmpty(), "outdated reports still count");
    }
}
