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
    private static final double TOTALS_FRESH_MS = 2500;
    /** The time over which what is asked for is averaged. */
    private static final double DEMAND_AVERAGE_MS = 1500;
    /** Tenants that are counted at most; beyond, the longest unused goes. */
    private static final int MAX_TENANTS = 4096;
    /** Of the limit, what goes to where the requests are; the rest is for those who have none yet. */
    private static final double DEMAND_PART = 0.9;
    /** Old sums still tell where the requests are for so long. */
    private static final double TOTALS_VALID_MS = 15_000;
    /** A tenant is calm until it asks for more than its limit and this part of the slack. */
    private static final double CALM_PART = 0.25;
    /** What a calm tenant may overdraw its bucket by: so many seconds of the bucket's rate, and at least. */
    private static final double OVERDRAFT_S = 0.2;

    private static final double MIN_OVERDRAFT = 2;
    /** All debts of a tenant together: what it may ask for in so many seconds, less the rules' slack. */
    private static final double MAX_DEBT_S = 9;
    /** Less than this many requests a second is not worth telling. */
    private static final double MIN_REPORTED_PER_S = 0.02;

    private static final double MILLIS_IN_SECOND = 1000;

    /** One tenant's tokens, and the demand for them as an average that decays. */
    private static final class Bucket {
        private double tokens;
        private double refilledAt;
        private double demandPerS;
        private double demandAt;

        private Bucket(double now, double tokens) {
            this.tokens = tokens;
            this.refilledAt = now;
            this.demandAt = now;
        }

        private double demandPerS(double now) {
            return demandPerS * Math.exp(-(now - demandAt) / DEMAND_AVERAGE_MS);
        }

        private void countRequest(double now) {
            demandPerS = demandPerS(now) + MILLIS_IN_SECOND / DEMAND_AVERAGE_MS;
            demandAt = now;
        }

        private void refill(double now, double ratePerMs, double capacity) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * ratePerMs);
            refilledAt = now;
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
    private final double startedAt;
    private final SplittableRandom random;
    private final Buckets buckets = new Buckets();
    private Map<String, Double> reported = Map.of();
    private Map<String, Part> parts = Map.of();
    private int sidecars = 1;
    private double totalsAt = Double.NEGATIVE_INFINITY;

    /**
     * Parts by the rules' figures.
     *
     * @param slack requests a window
     * @param excess as a part of the limit
     * @param seed of its draws
     */
    public TenantQuota(double now, double slack, double excess, double windowS, long seed) {
        this.random = new SplittableRandom(seed);
        this.startedAt = now;
        this.slack = slack * SLACK_PART;
        this.excess = excess * EXCESS_PART;
        this.windowS = windowS;
    }

    /** The demand at this sidecar, to be reported to the control nodes. */
    public List<TenantDemand> demand(double now) {
        List<TenantDemand> demand = new ArrayList<>();
        Map<String, Double> byTenant = new HashMap<>();
        buckets.forEach((tenant, bucket) -> {
            double perSecond = bucket.demandPerS(now);
            if (perSecond > MIN_REPORTED_PER_S) {
                demand.add(new TenantDemand(tenant, perSecond));
                byTenant.put(tenant, perSecond);
            }
        });
        reported = byTenant;
        return demand;
    }

    /** The sums that a control node made with what this sidecar reported last, of so many sidecars. */
    public void updateTotals(double now, int nodes, List<TenantDemand> totals) {
        Map<String, Part> updated = new HashMap<>();
        for (TenantDemand total : totals) {
            double own = reported.getOrDefault(total.tenant(), 0.0);
            updated.put(total.tenant(), new Part(own, total.perSecond()));
        }
        parts = updated;
        sidecars = Math.max(1, nodes);
        totalsAt = now;
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
        double age = now - totalsAt;
        Part part = age > TOTALS_VALID_MS ? null : parts.get(tenant);
        double total = part == null ? 0 : Math.max(part.total(), part.own());
        double share = share(part, total, Math.max(listed, sidecars));
        double ratePerMs = ratePerS * share / MILLIS_IN_SECOND;
        double capacity = (burst + slack + excess * (ratePerS * windowS + burst)) * share;
        Bucket bucket = bucket(now, tenant, ratePerMs, capacity);
        bucket.countRequest(now);
        // With no word of where the requests are, each sidecar that has some gets one at least.
        bucket.refill(now, ratePerMs, age > TOTALS_VALID_MS ? Math.max(1, capacity) : capacity);
        boolean calm = age < TOTALS_FRESH_MS && total < ratePerS + slack / windowS * CALM_PART;
        double overdraft = calm ? Math.max(MIN_OVERDRAFT, OVERDRAFT_S * (ratePerS + slack) * share) : 0;
        if (bucket.tokens - 1 >= -overdraft) {
            // A small tenant's debts need not be kept whole: the rules' slack covers them.
            double maxDebt = calm ? share * Math.max(0, ratePerS * MAX_DEBT_S - slack) : 0;
            bucket.tokens = Math.max(bucket.tokens - 1, Math.min(bucket.tokens, -maxDebt));
            return 0;
        }
        if (random.nextDouble() >= bucket.tokens) {
            // What is drawn by chance, or shared anew by then, need not be waited for in full.
            return Math.min(windowS * MILLIS_IN_SECOND, (1 - bucket.tokens) / ratePerMs);
        }
        bucket.tokens--;
        return 0;
    }

    // Of the limit, what is this sidecar's: most of it follows the demand, the rest is shared evenly.
    private static double share(Part part, double total, int sidecars) {
        return total > 0 ? DEMAND_PART * part.own() / total + (1 - DEMAND_PART) / sidecars : 1.0 / sidecars;
    }

    private Bucket bucket(double now, String tenant, double ratePerMs, double capacity) {
        Bucket bucket = buckets.get(tenant);
        if (bucket == null) {
            // What an earlier life of this sidecar may have spent is not there again.
            bucket = new Bucket(now, Math.min(capacity, ratePerMs * (now - startedAt)));
            buckets.put(tenant, bucket);
        }
        return bucket;
    }
}
