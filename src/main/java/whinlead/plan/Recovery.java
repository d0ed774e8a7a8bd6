package whinlead.plan;

/**
 * Whether service recovered after a disturbance, and how long that took.
 *
 * @param baseline mean share of the worth served before the disturbance
 * @param worstShare lowest share of any second from its start on
 * @param seconds time from its end until service has recovered for good; infinite if it has not when the run ends
 */
public record Recovery(double baseline, double worstShare, double seconds) {
    /** Share of the baseline from which service counts as recovered. */
    private static final double RECOVERED_SHARE = 0.98;
    /** This many consecutive seconds below it are not chance, and as many above it are required at the end. */
    private static final int MIN_CONSECUTIVE_SECONDS = 3;

    private static final double SECOND_MS = 1000;

    /**
     * Evaluates a run.
     *
     * @param worthBySecond as in {@link Outcome}
     * @param fromMs start of the disturbance in milliseconds, at least one second into the run
     * @param toMs end of the disturbance in milliseconds
     */
    public static Recovery of(double[] worthBySecond, double fromMs, double toMs) {
        int firstSecond = (int) (fromMs / SECOND_MS);
        int endSecond = (int) Math.ceil(toMs / SECOND_MS);
        double sum = 0;
        int counted = 0;
        for (int i = 0; i < Math.min(firstSecond, worthBySecond.length); i++) {
            if (!Double.isNaN(worthBySecond[i])) {
                sum += worthBySecond[i];
                counted++;
            }
        }
        if (counted == 0) {
            throw new IllegalArgumentException("no tries before the disturbance began");
        }
        double baseline = sum / counted;
        double worstShare = baseline;
        int lastBad = endSecond - 1;
        int consecutiveBad = 0;
        for (int i = firstSecond; i < worthBySecond.length; i++) {
            double share = worthBySecond[i];
            if (Double.isNaN(share)) {
                continue;
            }
            worstShare = Math.min(worstShare, share);
            consecutiveBad = share < RECOVERED_SHARE * baseline ? consecutiveBad + 1 : 0;
            if (consecutiveBad >= MIN_CONSECUTIVE_SECONDS) {
                lastBad = Math.max(lastBad, i);
            }
        }
        boolean recovered = worthBySecond.length - 1 - lastBad >= MIN_CONSECUTIVE_SECONDS;
        return new Recovery(baseline, worstShare, recovered ? lastBad + 1 - endSecond : Double.POSITIVE_INFINITY);
    }
}
