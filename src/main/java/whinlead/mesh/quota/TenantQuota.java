package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One sidecar's part of each tenant's limit, as a token bucket whose rate and depth follow where the requests are: of a
 * limit R, with D asked for in all and d here, n sidecars, a tenth is shared evenly and the rest as d / D. These add up
 * to R wherever all have the same sums. All buckets together hold the tenant's burst and most of the rules' slack; one
 * is empty at a sidecar's start, for its life before may have spent it.
 *
 * <p>Among many sidecars a small tenant's bucket holds less than one request. A request then goes by chance, in
 * proportion to what is held, and is paid for whole. While fresh sums say that all sidecars together are asked for less
 * than the limit, the bucket may be overdrawn by a little, which is paid back before more is taken: what two requests
 * in a row at one sidecar need, and a tenant within its limit may not be refused.
 *
 * <p>Pure, but for draws from its seed; one thread; times in milliseconds.
 */
public final class TenantQuota {
    /** Of the rules' slack and excess, what is given out; the rest is for sums that differ. */
    private static final double SLACK_PART = 0.7;

    private static final double EXCESS_PART = 0.3;
    /** A sum is fresh for so long. */
    private static final double FRESH = 2500;
    /** The time over which what is asked for is averaged. */
    private static final double AVERAGE = 1500;
    /** Tenants that are counted at most; beyond, the longest unused goes. */
    private static final int MAX_TENANTS = 4096;
    /** Of the limit, what goes to where the requests are; the rest is for those who have none yet. */
    private static final double FOLLOWS = 0.9;
    /** Old sums still tell where the requests are for so long. */
    private static final double STALE = 15_000;
    /** A tenant is calm until it asks for more than its limit and this part of the slack. */
    private static final double CALM = 0.25;
    /** What a calm tenant may overdraw its bucket by: so many seconds of the bucket's rate, and at least. */
    private static final double OVERDRAFT_S = 0.2;

    private static final double MIN_OVERDRAFT = 2;
    /** All debts of a tenant together: what it may ask for in so many seconds, less the rules' slack. */
    private static final double DEBT_S = 9;
    /** Less than this many requests a second is not worth telling. */
    private static final double MIN_TOLD = 0.02;

    private static final class Bucket {
        private double tokens;
        private double at;
        private double asked;
        private double askedAt;

        private double asked(double now) {
            return asked * Math.exp(-(now - askedAt) / AVERAGE);
        }
    }

    /** A bounded table. */
    private static final class Buckets extends LinkedHashMap<String, Bucket> {
        private static final long serialVersionUID = 1L;

        private Buckets() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
            return size() > MAX_TENANTS;
        }
    }

    private record Part(double own, double total) {}

    private final double slack;
    private final double excess;
    private final double windowS;
    private final double born;
    private final SplittableRandom random;
    private final Buckets buckets = new Buckets();
    private Map<String, Double> told = Map.of();
    private Map<String, Part> parts = Map.of();
    private int sidecars = 1;
    private double sumAt = Double.NEGATIVE_INFINITY;

    /**
     * Parts by the rules' figures.
     *
     * @param slack requests a window
     * @param excess as a part of the limit
     * @param seed of its draws
     */
    public TenantQuota(double now, double slack, double excess, double windowS, long seed) {
        this.random = new SplittableRandom(seed);
        this.born = now;
        this.slack = slack * SLACK_PART;
        this.excess = excess * EXCESS_PART;
        this.windowS = windowS;
    }

    /** What this sidecar is asked for, to be told to the control nodes. */
    public List<TenantDemand> demand(double now) {
        List<TenantDemand> uses = new ArrayList<>();
        Map<String, Double> now1 = new HashMap<>();
        buckets.forEach((tenant, b) -> {
            double asked = b.asked(now);
            if (asked > MIN_TOLD) {
                uses.add(new TenantDemand(tenant, asked));
                now1.put(tenant, asked);
            }
        });
        told = now1;
        return uses;
    }

    /** The sums that a control node made with what this sidecar told last, of so many sidecars. */
    public void updateTotals(double now, int nodes, List<TenantDemand> totals) {
        Map<String, Part> made = new HashMap<>();
        for (TenantDemand u : totals) {
            made.put(u.tenant(), new Part(told.getOrDefault(u.tenant(), 0.0), u.perSecond()));
        }
        parts = made;
        sidecars = Math.max(1, nodes);
        sumAt = now;
    }

    /**
     * Takes one request's quota.
     *
     * @param ratePerS the tenant's limit; 0 is none
     * @param listed how many sidecars are listed, 1 at least
     * @return 0 if it may go, else in how many milliseconds the next may
     */
    public double acquire(double now, String tenant, double ratePerS, double burst, int listed) {
        if (ratePerS <= 0) {
            return 0;
        }
        int n = Math.max(listed, sidecars);
        double age = now - sumAt;
        Part p = age > STALE ? null : parts.get(tenant);
        double total = p == null ? 0 : Math.max(p.total(), p.own());
        double share = total > 0 ? FOLLOWS * p.own() / total + (1 - FOLLOWS) / n : 1.0 / n;
        double rate = ratePerS * share / 1000;
        double most = (burst + slack + excess * (ratePerS * windowS + burst)) * share;
        Bucket b = bucket(now, tenant, rate, most);
        b.asked = b.asked(now) + 1000 / AVERAGE;
        b.askedAt = now;
        // With no word of where the requests are, each sidecar that has some gets one at least.
        b.tokens = Math.min(age > STALE ? Math.max(1, most) : most, b.tokens + (now - b.at) * rate);
        b.at = now;
        boolean calm = age < FRESH && total < ratePerS + slack / windowS * CALM;
        double overdraft = calm ? Math.max(MIN_OVERDRAFT, OVERDRAFT_S * (ratePerS + slack) * share) : 0;
        if (b.tokens - 1 >= -overdraft) {
            // A small tenant's debts need not be kept whole: the rules' slack covers them.
            double debt = calm ? share * Math.max(0, ratePerS * DEBT_S - slack) : 0;
            b.tokens = Math.max(b.tokens - 1, Math.min(b.tokens, -debt));
            return 0;
        }
        if (random.nextDouble() >= b.tokens) {
            // What is drawn by chance, or shared anew by then, need not be waited for in full.
            return Math.min(windowS * 1000, (1 - b.tokens) / rate);
        }
        b.tokens--;
        return 0;
    }

    private Bucket bucket(double now, String tenant, double rate, double most) {
        Bucket b = buckets.get(tenant);
        if (b == null) {
            b = new Bucket();
            b.tokens = Math.min(most, rate * (now - born));
            b.at = now;
            b.askedAt = now;
            buckets.put(tenant, b);
        }
        return b;
    }
}
