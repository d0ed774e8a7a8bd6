package whinlead.plan;

/**
 * A mean over independent runs and the half width of its 95% confidence interval (Student's t).
 *
 * @param half half width; infinite for a single run, which has no measurable spread
 */
public record Interval(double mean, double half, int runs) {
    /** Quantiles of Student's t distribution at 0.975 by degrees of freedom, from 1. */
    private static final double[] QUANTILES = {
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
        2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042
    };
    /** Normal quantile; those for more degrees of freedom differ from it by less than 0.09. */
    private static final double NORMAL_QUANTILE = 1.96;

    /** Computes the interval of these values; there must be at least one. */
    public static Interval of(double[] values) {
        double mean = 0;
        for (double v : values) {
            mean += v / values.length;
        }
        if (values.length == 1) {
            return new Interval(mean, Double.POSITIVE_INFINITY, 1);
        }
        double squares = 0;
        for (double v : values) {
            squares += (v - mean) * (v - mean);
        }
        int degrees = values.length - 1;
        double quantile = degrees <= QUANTILES.length ? QUANTILES[degrees - 1] : NORMAL_QUANTILE;
        return new Interval(mean, quantile * Math.sqrt(squares / degrees / values.length), values.length);
    }

    /** Whether the whole interval is at or above a bound. */
    public boolean isAtLeast(double bound) {
        return mean - half >= bound;
    }

    /** Whether the whole interval is below a bound. */
    public boolean isBelow(double bound) {
        return mean + half < bound;
    }
}
