package whinlead.plan;

/**
 * Whether service came back after something that befell it, and how long that took.
 *
 * @param before mean share of the worth got before
 * @param worst the least of a second from the beginning on
 * @param seconds from its end until service is back for good; infinite if it is not back when the run ends
 */
public record Recovery(double before, double worst, double seconds) {
    /** Of what was got before, from which on service is back. */
    private static final double BACK = 0.98;
    /** So many seconds under it in a row are not chance, and as many over it at the end are wanted. */
    private static final int IN_A_ROW = 3;

    private static final double SECOND = 1000;

    /**
     * Looks at a run.
     *
     * @param worthBySecond as an {@link Outcome} has it
     * @param from when it befell, in milliseconds, after at least a second
     * @param to when that ended
     */
    public static Recovery of(double[] worthBySecond, double from, double to) {
        int begins = (int) (from / SECOND);
        int ends = (int) Math.ceil(to / SECOND);
        double sum = 0;
        int counted = 0;
        for (int i = 0; i < Math.min(begins, worthBySecond.length); i++) {
            if (!Double.isNaN(worthBySecond[i])) {
                sum += worthBySecond[i];
                counted++;
            }
        }
        if (counted == 0) {
            throw new IllegalArgumentException("nothing was asked before it befell");
        }
        double before = sum / counted;
        double worst = before;
        int lastBad = ends - 1;
        int bad = 0;
        for (int i = begins; i < worthBySecond.length; i++) {
            double w = worthBySecond[i];
            if (Double.isNaN(w)) {
                continue;
            }
            worst = Math.min(worst, w);
            bad = w < BACK * before ? bad + 1 : 0;
            if (bad >= IN_A_ROW) {
                lastBad = Math.max(lastBad, i);
            }
        }
        boolean back = worthBySecond.length - 1 - lastBad >= IN_A_ROW;
        return new Recovery(before, worst, back ? lastBad + 1 - ends : Double.POSITIVE_INFINITY);
    }
}
