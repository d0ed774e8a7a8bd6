package whinlead.decide;

import java.util.SplittableRandom;

/** What one server fails of each class: an error raises that class's percentage there and no other. */
final class Failing {
    // Weight of an outcome, and what stays from period to period.
    private static final double WEIGHT = 0.5;
    private static final double KEEP = 0.998;
    private static final double MOSTLY = 0.4;

    // The percentage of each class, as a share; null while there were no errors.
    private double[] shares;

    void note(int classIndex, int classes, boolean error) {
        if (shares == null && error) {
            shares = new double[classes];
        }
        if (shares != null) {
            shares[classIndex] += ((error ? 1 : 0) - shares[classIndex]) * WEIGHT;
        }
    }

    // True once most of this class failed lately: one more without an answer tells nothing of the others.
    boolean mostly(int classIndex) {
        return shares != null && shares[classIndex] > MOSTLY;
    }

    boolean passes(int classIndex, SplittableRandom random) {
        return shares == null || random.nextDouble() >= shares[classIndex];
    }

    void period() {
        for (int k = 0; shares != null && k < shares.length; k++) {
            shares[k] *= KEEP;
        }
    }
}
