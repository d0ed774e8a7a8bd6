package whinlead.decide;

import java.util.SplittableRandom;

/** Failure share of each class at one server: an error raises the share of its own class at this server only. */
final class Failing {
    // Weight of an outcome, the decay per period, and the share from which a class counts as mostly failing.
    private static final double WEIGHT = 0.5;
    private static final double DECAY = 0.998;
    private static final double MOSTLY_FAILING = 0.4;

    // The drop share of each class; null while there were no errors.
    private double[] shares;

    void record(int classIndex, int classCount, boolean error) {
        if (shares == null && error) {
            shares = new double[classCount];
        }
        if (shares != null) {
            shares[classIndex] += ((error ? 1 : 0) - shares[classIndex]) * WEIGHT;
        }
    }

    // True if most recent requests of this class failed: one more without an answer then says nothing about the
    // others.
    boolean failsMostly(int classIndex) {
        return shares != null && shares[classIndex] > MOSTLY_FAILING;
    }

    boolean passes(int classIndex, SplittableRandom random) {
        return shares == null || random.nextDouble() >= shares[classIndex];
    }

    void endPeriod() {
        for (int classIndex = 0; shares != null && classIndex < shares.length; classIndex++) {
            shares[classIndex] *= DECAY;
        }
    }
}
