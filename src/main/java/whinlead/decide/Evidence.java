package whinlead.decide;

/** Weighted recent outcomes: how many there were, and how many of them were bad. */
final class Evidence {
    double bad;
    double total;
    double resets;

    void record(double badness, double weight) {
        bad += badness * weight;
        total += weight;
    }

    // The share of bad outcomes that may indicate a queue. Resets are left out, since connections also break for other
    // reasons.
    double badShare() {
        return (bad - resets) / Math.max(1, total);
    }

    void decay(double factor) {
        bad *= factor;
        total *= factor;
        resets *= factor;
    }
}
