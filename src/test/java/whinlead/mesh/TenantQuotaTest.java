package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import whinlead.mesh.quota.DemandTotals;
import whinlead.mesh.quota.TenantDemand;
import whinlead.mesh.quota.TenantQuota;

/** What tenants get where there are many sidecars and few requests of each tenant at one of them. */
public class TenantQuotaTest {
    private static final int NODES = 63;
    private static final double WINDOW_S = 5;
    private static final double SLACK = 20;
    private static final double EXCESS = 0.1;
    /** Of its limit, what a tenant usually asks for; and how many times as much when it is hot. */
    private static final double USUAL = 1 / 1.6;

    private static final double HOT = 9.6;
    /** One client asks for so many a second. */
    private static final double CLIENT = 1.4;

    private static final int BEGINS = 15_000;
    private static final int HOT_AT = 27_000;
    private static final int COOL_AT = 33_500;
    private static final int END = 39_000;
    private static final int TELL = 350;

    private record Day(int asked, int refused, double worstOfBound) {}

    @Test
    public void ofATenantWithinItsLimitFewAreRefusedAndNoneGetsMoreThanTheRulesGive() {
        for (double limit : new double[] {3, 8, 20, 100, 300}) {
            for (boolean spread : new boolean[] {false, true}) {
                int asked = 0;
                int refused = 0;
                for (int seed = 0; seed < 4; seed++) {
                    Day day = play(limit, spread, seed);
                    asked += day.asked();
                    refused += day.refused();
                    assertTrue(day.worstOfBound() <= 1, day.worstOfBound() + " of the bound, limit " + limit);
                }
                assertTrue(
                        refused <= asked * 0.06 + 1,
                        refused + " of " + asked + " refused, limit " + limit
                                + (spread ? ", at all sidecars alike" : ", of few clients"));
            }
        }
    }

    // Twelve usual seconds, then a hot tenant; each sidecar's words take their time to the control node and back.
    private static Day play(double limit, boolean spread, int seed) {
        Random random = new Random(seed);
        double usual = limit * USUAL;
        double[] split = new double[NODES];
        int clients = spread ? NODES : (int) Math.max(1, Math.round(usual / CLIENT));
        for (int i = 0; i < clients; i++) {
            split[spread ? i : random.nextInt(NODES)] += 1.0 / clients;
        }
        DemandTotals sum = new DemandTotals();
        List<TenantQuota> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new TenantQuota(0, SLACK, EXCESS, WINDOW_S, seed * 100L + i));
        }
        Map<Integer, List<Runnable>> post = new HashMap<>();
        int[] got = new int[END];
        int asked = 0;
        int refused = 0;
        double whole = limit;
        for (int ms = 0; ms < END; ms++) {
            post.getOrDefault(ms, List.of()).forEach(Runnable::run);
            post.remove(ms);
            whole = Math.min(limit, whole + limit / 1000);
            double perMs = (ms < BEGINS ? 0 : ms >= HOT_AT && ms < COOL_AT ? usual * HOT : usual) / 1000;
            for (int i = 0; i < NODES; i++) {
                if (random.nextDouble() < perMs * split[i]) {
                    double wait = nodes.get(i).acquire(ms, "t", limit, limit, NODES);
                    assertTrue(wait >= 0 && wait <= WINDOW_S * 1000, "told to come back in " + wait + " ms");
                    boolean may = wait == 0;
                    got[ms] += may ? 1 : 0;
                    // One bucket for all would have had a place for it.
                    boolean owed = whole >= 1;
                    whole -= owed ? 1 : 0;
                    asked += ms < HOT_AT && owed ? 1 : 0;
                    refused += ms < HOT_AT && owed && !may ? 1 : 0;
                }
                if ((ms + 5 * i) % TELL == 0) {
                    tell(post, ms, 20 + random.nextInt(60), nodes.get(i), sum, "n" + i);
                }
            }
        }
        double bound = (limit * WINDOW_S + limit) * (1 + EXCESS) + SLACK;
        double worst = 0;
        int window = 0;
        for (int ms = 0; ms < END; ms++) {
            window += got[ms] - (ms >= WINDOW_S * 1000 ? got[ms - (int) (WINDOW_S * 1000)] : 0);
            worst = Math.max(worst, window / bound);
        }
        return new Day(asked, refused, worst);
    }

    private static void tell(
            Map<Integer, List<Runnable>> post, int now, int way, TenantQuota node, DemandTotals sum, String name) {
        List<TenantDemand> uses = node.demand(now);
        post.computeIfAbsent(now + way, t -> new ArrayList<>()).add(() -> {
            sum.report(now + way, name, uses);
            int count = sum.reportingNodes();
            List<TenantDemand> totals = sum.totalsFor(name);
            post.computeIfAbsent(now + 2 * way, t -> new ArrayList<>())
                    .add(() -> node.updateTotals(now + 2 * way, count, totals));
        });
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
