package whinlead.decide;

import java.util.Arrays;
import whinlead.Contract;

/** Against pushing a cold server over: tokens by what a warm one gets from here, and by what it answers. */
final class ColdBudget {
    // Of what a warm server gets, times the guessed cold fraction, a cold one gets at most this much.
    private static final double RATE = 1.5;
    // The most tokens saved up: one request and a half, so that hundreds of half-full buckets are no burst.
    private static final double SAVE = 1.5;
    // What tokens by time and by answers add up to, of the multiple at which it falls; a window (RFC 6928)
    // that all sidecars together give each server at first, and a warm one in each aim where none is known.
    private static final double MULTIPLE_PART = 0.75;
    private static final double WINDOW = 10;
    // Weight of a period in the rate that a warm server gets; the percentage from which it is not counted.
    private static final double WARM_WEIGHT = 0.05;
    private static final double WARM_SHUT = 0.5;

    /** The tokens of one server, as of a time. */
    static final class Bucket {
        private double tokens;
        private double at = Double.NaN;
    }

    private final Contract.Obligations obligations;
    private final double first;
    private final double least;
    private final double byAnswer;
    private double warmRate;

    ColdBudget(Contract.Settings settings, double aim) {
        this.obligations = settings.obligations();
        this.first = WINDOW / settings.sidecars();
        this.least = first / aim;
        this.byAnswer = Math.max(0, obligations.fallMultiple() * MULTIPLE_PART - RATE);
    }

    // The fraction of its capacity that a server has at least, for its age.
    double warmth(double now, Node n) {
        double age = now - n.startedAt;
        if (n.startedAt == 0 || age >= obligations.coldTime()) {
            return 1;
        }
        double share = obligations.coldShare();
        return share + (1 - share) * Math.max(0, age) / obligations.coldTime();
    }

    boolean take(double now, Node n, double spread) {
        double w = warmth(now, n);
        if (w >= 1) {
            return true;
        }
        Bucket b = n.bucket;
        if (Double.isNaN(b.at)) {
            // By chance, so that the sum is the window; a rank's low bits, for its high ones pick the subset.
            b.tokens = (n.rank & Integer.MAX_VALUE) < first * spread * Integer.MAX_VALUE ? 1 : 0;
            b.at = now;
        }
        b.tokens = Math.min(SAVE, b.tokens + RATE * w * Math.max(least * spread, warmRate) * (now - b.at));
        b.at = now;
        if (b.tokens < 1) {
            return false;
        }
        b.tokens--;
        return true;
    }

    // As in slow start: what it answers, it has room for, whoever else sends to it.
    void answered(Node n) {
        n.bucket.tokens = Math.min(SAVE, n.bucket.tokens + byAnswer);
    }

    // Learns what a warm server gets from here. With no warm one left the last figure stands: in a rolling
    // deploy budgets would else shrink.
    void period(double now, Node[] subset) {
        Arrays.stream(subset)
                .filter(n -> n.percentage < WARM_SHUT && warmth(now, n) >= 1)
                .mapToDouble(n -> n.sendRate)
                .average()
                .ifPresent(mean -> warmRate += (mean - warmRate) * WARM_WEIGHT);
    }
}
