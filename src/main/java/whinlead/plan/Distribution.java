package whinlead.plan;

import java.util.Random;

/**
 * Distribution of the duration of a piece of work.
 *
 * @param mean milliseconds on a core of speed 1; at least 0
 * @param cv coefficient of variation: 0 for constant, 1 for exponential, otherwise lognormal; at least 0
 */
public record Distribution(double mean, double cv) {
    /** Throws {@link IllegalArgumentException} for a value that is negative, infinite or not a number. */
    public Distribution {
        if (!(mean >= 0) || !(cv >= 0) || Double.isInfinite(mean + cv)) {
            throw new IllegalArgumentException("mean and cv must be finite numbers of 0 or more");
        }
    }

    /** Draws a duration in milliseconds. */
    public double draw(Random random) {
        if (cv == 0) {
            return mean;
        }
        if (cv == 1) {
            return -mean * Math.log(1 - random.nextDouble());
        }
        // The exponential of a normal variable with this variance has the required mean and cv.
        double variance = Math.log(1 + cv * cv);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }
}
