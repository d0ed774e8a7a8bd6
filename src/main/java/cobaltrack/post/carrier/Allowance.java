package cobaltrack.post.carrier;

import cobaltrack.post.tariff.Routing;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * This sidecar's part of each tenant's limit: an even share of its rate, and of its burst with most of the
 * rules' slack, as a token bucket. What all sidecars let through never exceeds the sum. Pure; one thread.
 */
public final class Allowance {
    /** Of the rules' slack, what is given out; the rest is for clocks that differ. */
    private static final double SLACK_PART = 0.7;
    /** Tenants that are counted at most; beyond, the longest unused goes. */
    private static final int MOST = 4096;

    private static final class Bucket {
        private double tokens;
        private double at;
    }

    private final double slack;
    private final Map<String, Bucket> buckets = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Bucket> eldest) {
            return size() > MOST;
        }
    };

    /** Parts with this slack of the rules, in requests a window over all sidecars. */
    public Allowance(double slack) {
        this.slack = slack * SLACK_PART;
    }

    /**
     * Takes one request's allowance.
     *
     * @param now in milliseconds
     * @param sidecars how many share the limit, 1 at least
     * @return 0 if it may go, else in how many milliseconds the next may
     */
    public double take(double now, Routing.Payer payer, int sidecars) {
        double rate = payer.tenant().ratePerS() / 1000 / sidecars;
        if (rate <= 0) {
            return 0;
        }
        double most = Math.max(1, (payer.tenant().burst() + slack) / sidecars);
        Bucket b = buckets.get(payer.name());
        if (b == null) {
            b = new Bucket();
            b.tokens = most;
            b.at = now;
            buckets.put(payer.name(), b);
        }
        b.tokens = Math.min(most, b.tokens + (now - b.at) * rate);
        b.at = now;
        if (b.tokens < 1) {
            return (1 - b.tokens) / rate;
        }
        b.tokens--;
        return 0;
    }
}
