package cobaltrack.post.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One sidecar's part of each tenant's limit, as a token bucket whose rate follows where the requests are. Of
 * a limit R, with D asked for in all and d here, n sidecars: R d / D while D is over R, else d + (R - D) / n.
 * These add up to R wherever all have the same sums. Without a fresh sum the part is R / n. The bucket holds
 * an even share of the tenant's burst and of most of the rules' slack, and is empty at a sidecar's start, for
 * its life before may have spent it. Pure; one thread; times in milliseconds.
 */
public final class Allowance {
    /** Of the rules' slack and excess, what is given out; the rest is for sums that differ. */
    private static final double SLACK_PART = 0.7;
    private static final double EXCESS_PART = 0.3;
    /** A sum is fresh for so long. */
    private static final double FRESH = 2500;
    /** The time over which what is asked for is averaged. */
    private static final double AVERAGE = 1500;
    /** Tenants that are counted at most; beyond, the longest unused goes. */
    private static final int MOST = 4096;
    /** Less than this many requests a second is not worth telling. */
    private static final double TOLD_LEAST = 0.02;

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
            return size() > MOST;
        }
    }

    private record Part(double own, double total) { }

    private final double slack;
    private final double excess;
    private final double windowS;
    private final double born;
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
     */
    public Allowance(double now, double slack, double excess, double windowS) {
        this.born = now;
        this.slack = slack * SLACK_PART;
        this.excess = excess * EXCESS_PART;
        this.windowS = windowS;
    }

    /** What this sidecar is asked for, to be told to the offices. */
    public List<Use> uses(double now) {
        List<Use> uses = new ArrayList<>();
        Map<String, Double> now1 = new HashMap<>();
        buckets.forEach((tenant, b) -> {
            double asked = b.asked(now);
            if (asked > TOLD_LEAST) {
                uses.add(new Use(tenant, asked));
                now1.put(tenant, asked);
            }
        });
        told = now1;
        return uses;
    }

    /** The sums that an office made with what this sidecar told last, of so many sidecars. */
    public void sums(double now, int nodes, List<Use> totals) {
        Map<String, Part> made = new HashMap<>();
        for (Use u : totals) {
            made.put(u.tenant(), new Part(told.getOrDefault(u.tenant(), 0.0), u.perSecond()));
        }
        parts = made;
        sidecars = Math.max(1, nodes);
        sumAt = now;
    }

    /**
     * Takes one request's allowance.
     *
     * @param ratePerS the tenant's limit; 0 is none
     * @param listed how many sidecars are listed, 1 at least
     * @return 0 if it may go, else in how many milliseconds the next may
     */
    public double take(double now, String tenant, double ratePerS, double burst, int listed) {
        if (ratePerS <= 0) {
            return 0;
        }
        int n = Math.max(listed, sidecars);
        double rate = rate(now, tenant, ratePerS, n) / 1000;
        double most = Math.max(1, (burst + slack + excess * (ratePerS * windowS + burst)) / n);
        Bucket b = buckets.get(tenant);
        if (b == null) {
            b = new Bucket();
            b.tokens = Math.min(most, rate * (now - born));
            b.at = now;
            b.askedAt = now;
            buckets.put(tenant, b);
        }
        b.asked = b.asked(now) + 1000 / AVERAGE;
        b.askedAt = now;
        b.tokens = Math.min(most, b.tokens + (now - b.at) * rate);
        b.at = now;
        if (b.tokens < 1) {
            return (1 - b.tokens) / rate;
        }
        b.tokens--;
        return 0;
    }

    private double rate(double now, String tenant, double limit, int n) {
        Part p = parts.get(tenant);
        if (p == null || now - sumAt > FRESH) {
            return limit / n;
        }
        double total = Math.max(p.total(), p.own());
        return total >= limit ? limit * p.own() / total : p.own() + (limit - total) / n;
    }
}
