package whinlead.decide;

/** Outcomes, weighed: how many there were lately, and how many of them were not accepted. */
final class Evidence {
    double bad;
    double all;
    double broken;

    void note(double badness, double weight) {
        bad += badness * weight;
        all += weight;
    }

    // Of what may tell of a queue: lines break on their own too.
    double share() {
        return (bad - broken) / Math.max(1, all);
    }

    void fade(double keep) {
        bad *= keep;
        all *= keep;
        broken *= keep;
    }
}
