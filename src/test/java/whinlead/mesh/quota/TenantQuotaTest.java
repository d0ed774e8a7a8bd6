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

/** What tenants get where there are many sidecars and few requests of each tenant at one of them. */
public class TenantQuotaTest {
    private static final int NODES = 63;
    /** Of its limit, what a tenant usually asks for; and how many times as much when it is hot. */
    private static final double USUAL = 1 / 1.6;

    private static final double HOT = 9.6;
    /** One client asks for so many a second. */
    private static final double CLIENT = 1.4;

    private static final int BEGINS = 15_000;
    private static final int HOT_AT = 27_000;
    private static final int COOL_AT = 33_500;
    private static final int END = 39_000;
    private static final int STEADY_FROM = 12_000;
    private static final int STEADY_END = 17_000;
    private static final int CONTROL_NODES = 5;
    /** Of a message on its way. */
    private static final int MAX_DELAY_MS = 79;

    private static final int MIN_DELAY_MS = 20;

    @Test
    public void ofATenantWithinItsLimitFewAreRefusedAndNoneGetsMoreThanTheRulesGive() {
        for (double limit : new double[] {3, 8, 20, 100, 300}) {
            for (boolean spread : new boolean[] {false, true}) {
                int asked = 0;
                int refused = 0;
                for (int seed = 0; seed < 4; seed++) {
                    QuotaScenario day = day(limit, spread, seed);
                    QuotaMesh.Outcome outcome = QuotaMesh.play(day);
                    asked += QuotaMesh.Outcome.sum(outcome.owed(), 0, HOT_AT);
                    refused += QuotaMesh.Outcome.sum(outcome.refused(), 0, HOT_AT);
                    double worstOfBound = outcome.mostInWindow() / day.allowed();
                    assertTrue(worstOfBound <= 1, worstOfBound + " of the bound, limit " + limit);
                }
                assertTrue(
                        refused <= asked * 0.06 + 1,
                        refused + " of " + asked + " refused, limit " + limit
                                + (spread ? ", at all sidecars alike" : ", of few clients"));
            }
        }
    }

    // Twelve usual seconds, then a hot tenant; each message takes its time to the control node and back.
    private static QuotaScenario day(double limit, boolean spread, int seed) {
        Random random = new Random(seed);
        double usual = limit * USUAL;
        double[] split = new double[NODES];
        int clients = spread ? NODES : (int) Math.max(1, Math.round(usual / CLIENT));
        for (int i = 0; i < clients; i++) {
            split[spread ? i : random.nextInt(NODES)] += 1.0 / clients;
        }
        return new QuotaScenario(
                seed,
                NODES,
                CONTROL_NODES,
                limit,
                limit,
                usual,
                List.of(new QuotaScenario.Surge(0, BEGINS, 0), new QuotaScenario.Surge(HOT_AT, COOL_AT, HOT)),
                split,
                List.of(),
                List.of(),
                MIN_DELAY_MS,
                MAX_DELAY_MS,
                0,
                END);
    }

    @Test
    public void partsOfALimitAddUpToItWhereverTheRequestsAre() {
        double limit = 60;
        int sidecars = 10;
        for (double[] split : List.of(even(sidecars), all(sidecars), rest(sidecars))) {
            for (double times : new double[] {0.5, 0.95, 8}) {
                QuotaScenario day = steady(limit, split, limit * times, 1000 + (int) (times * 10));
                int got = QuotaMesh.Outcome.sum(QuotaMesh.play(day).admitted(), STEADY_FROM, STEADY_END);
                double asked = limit * times * QuotaScenario.WINDOW_S;
                assertTrue(got <= day.allowed(), got + " of at most " + day.allowed());
                // No part of the limit goes begging while requests for it are refused.
                assertTrue(got >= Math.min(asked, limit * QuotaScenario.WINDOW_S) * 0.9, got + " of " + asked);
            }
        }
    }

    private static double[] even(int n) {
        double[] d = new double[n];
        Arrays.fill(d, 1.0 / n);
        return d;
    }

    private static double[] all(int n) {
        double[] d = new double[n];
        d[0] = 1;
        return d;
    }

    private static double[] rest(int n) {
        double[] d = new double[n];
        Arrays.fill(d, 0.99 / (n - 1));
        d[0] = 0.01;
        return d;
    }

    // Some seconds of the same, and a window more.
    private static QuotaScenario steady(double limit, double[] split, double perS, int seed) {
        return new QuotaScenario(
                seed, split.length, 3, limit, limit, perS, List.of(), split, List.of(), List.of(), 1, 3, 0, STEADY_END);
    }

    @Test
    public void aSumIsOfWhatEachSaidLastAndNamesWhatOthersAreAskedFor() {
        DemandTotals sum = new DemandTotals();
        Random random = new Random(9);
        Map<String, Map<String, Double>> last = new HashMap<>();
        for (int i = 0; i < 2000; i++) {
            String node = "n" + random.nextInt(9);
            Map<String, Double> said = new HashMap<>();
            for (int k = random.nextInt(4); k > 0; k--) {
                said.put("t" + random.nextInt(6), random.nextDouble() * 100);
            }
            last.put(node, said);
            List<TenantDemand> uses = new ArrayList<>();
            said.forEach((tenant, perS) -> uses.add(new TenantDemand(tenant, perS)));
            sum.report(i, node, uses);
            Map<String, Double> want = new HashMap<>();
            last.values().forEach(m -> m.forEach((t, perS) -> want.merge(t, perS, Double::sum)));
            Map<String, Double> have = new HashMap<>();
            sum.totalsFor(node).forEach(u -> have.put(u.tenant(), u.perSecond()));
            assertEquals(have.keySet(), want.keySet());
            want.forEach((t, perS) -> assertEquals(have.get(t), perS, 1e-6));
        }
        sum.report(9000, "n0", List.of());
        assertEquals(sum.reportingNodes(), 1);
        assertTrue(sum.totalsFor("n0").isEmpty(), "what was said long ago counts no more");
    }
}
