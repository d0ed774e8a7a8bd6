package whinlead.decide;

import java.util.Arrays;
import whinlead.Contract;

/**
 * Protects cold servers from overload: token buckets filled by what a warm server gets from this sidecar and by the
 * cold server's own answers.
 */
final class ColdBudget {
    // A cold server gets at most this multiple of what a warm server gets, times its estimated capacity share.
    private static final double RATE_FACTOR = 1.5;
    // Most tokens a bucket holds: one and a half requests, so that hundreds of half-full buckets cause no burst.
    private static final double MAX_TOKENS = 1.5;
    // Tokens by time and by answers together add up to this part of the overload multiple at which a server falls
    // over. INITIAL_WINDOW (RFC 6928): what all sidecars together send each server at first, and to a warm server in
    // each latency target while no rate is known.
    private static final double FALL_MULTIPLE_SHARE = 0.75;
    private static final double INITIAL_WINDOW = 10;
    // Weight of a period in the rate that a warm server gets; the drop share from which a server is not counted.
    private static final double WARM_WEIGHT = 0.05;
    private static final double WARM_MAX_DROP_SHARE = 0.5;

    /** The tokens of one server as of the time of the last update. */
    static final class Bucket {
        private double tokens;
        private double updatedAtMs = Double.NaN;
    }

    private final Contract.Obligations obligations;
    private final double initialTokens;
    private final double minRate;
    private final double tokensPerAnswer;
    private double warmRate;

    ColdBudget(Contract.Settings settings, double targetMs) {
        this.obligations = settings.obligations();
        this.initialTokens = INITIAL_WINDOW / settings.sidecars();
        this.minRate = initialTokens / targetMs;
        this.tokensPerAnswer = Math.max(0, obligations.fallMultiple() * FALL_MULTIPLE_SHARE - RATE_FACTOR);
    }

    // The share of its capacity that a server of this age has at least.
    double capacityShare(double nowMs, Node node) {
        double ageMs = nowMs - node.startedAtMs;
        if (node.startedAtMs == 0 || ageMs >= obligations.coldTime()) {
            return 1;
        }
        double initialShare = obligations.coldShare();
        return initialShare + (1 - initialShare) * Math.max(0, ageMs) / obligations.coldTime();
    }

    boolean tryAcquire(double nowMs, Node node, double serversPerSubsetSlot) {
        double capacityShare = capacityShare(nowMs, node);
        if (capacityShare >= 1) {
            return true;
        }
        Bucket bucket = node.bucket;
        if (Double.isNaN(bucket.updatedAtMs)) {
            // Drawn at random, so that the expected sum over all sidecars is the initial window. Uses the low bits of
            // the rank because its high bits select the subset.
            bucket.tokens =
                    (node.rank & Integer.MAX_VALUE) < initialTokens * serversPerSubsetSlot * Integer.MAX_VALUE ? 1 : 0;
            bucket.updatedAtMs = nowMs;
        }
        bucket.tokens = Math.min(
                MAX_TOKENS,
                bucket.tokens
                        + RATE_FACTOR
                                * capacityShare
                                * Math.max(minRate * serversPerSubsetSlot, warmRate)
                                * (nowMs - bucket.updatedAtMs));
        bucket.updatedAtMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    // As in TCP slow start: a server has room for what it answers, whoever else sends to it.
    void recordAnswer(Node node) {
        node.bucket.tokens = Math.min(MAX_TOKENS, node.bucket.tokens + tokensPerAnswer);
    }

    // Measures what a warm server gets from this sidecar. With no warm server left the last figure stands, since
    // budgets would shrink during a rolling deploy otherwise.
    void endPeriod(double nowMs, Node[] subset) {
        Arrays.stream(subset)
                .filter(n -> n.dropShare < WARM_MAX_DROP_SHARE && capacityShare(nowMs, n) >= 1)
                .mapToDouble(n -> n.sendRate)
                .average()
                .ifPresent(mean -> warmRate += (mean - warmRate) * WARM_WEIGHT);
    }
}
