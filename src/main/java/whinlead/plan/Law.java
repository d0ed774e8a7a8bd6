package whinlead.plan;

import java.util.Random;

/**
 * How long a piece of work takes.
 *
 * @param mean milliseconds on a core of speed 1; at least 0
 * @param cv standard deviation by mean: 0 always the same, 1 exponential, else lognormal; at least 0
 */
public record Law(double mean, double cv) {
    /** A law; throws {@link IllegalArgumentException} for a value that is no number or negative. */
    public Law {
        if (!(mean >= 0) || !(cv >= 0) || Double.isInfinite(mean + cv)) {
            throw new IllegalArgumentException("mean and cv must be numbers of 0 or more");
        }
    }

    /** Milliseconds of one piece. */
    public double draw(Random dice) {
        if (cv == 0) {
            return mean;
        }
        if (cv == 1) {
            return -mean * Math.log(1 - dice.nextDouble());
        }
        // Of a normal variable with this variance the exponential has the wanted mean and cv.
        double variance = Math.log(1 + cv * cv);
        return mean * Math.exp(Math.sqrt(variance) * dice.nextGaussian() - variance / 2);
    }
}
