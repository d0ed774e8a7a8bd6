package whinlead.mesh.quota;

/**
 * Requests a second as an average that decays: over a long time, so that shares don't follow chance, and over a short
 * one where that tells of a rise which chance does not explain. Pure; times in milliseconds.
 */
final class DemandAverage {
    private static final double LONG_MS = 4000;
    private static final double SHORT_MS = 800;
    /**
     * A rise is more than so many standard deviations of the short average, and more than so many requests a second.
     */
    private static final double RISE_DEVIATIONS = 3;

    private static final double RISE_PER_S = 4;
    /** The first request is taken for one of so many milliseconds. */
    private static final double FIRST_MS = 2000;

    private static final double MILLIS_IN_SECOND = 1000;

    private final double since;
    private double longPerS;
    private double shortPerS;
    private double at;

    DemandAverage(double now) {
        since = now;
        at = now;
    }

    void countRequest(double now) {
        decay(now);
        longPerS += MILLIS_IN_SECOND / LONG_MS;
        shortPerS += MILLIS_IN_SECOND / SHORT_MS;
    }

    double perSecond(double now) {
        decay(now);
        // An average that began lately has not yet seen its whole time.
        double seen = 1 - Math.exp(-(now - since + FIRST_MS) / LONG_MS);
        double usual = longPerS / seen;
        double deviation = Math.sqrt(usual * MILLIS_IN_SECOND / (2 * SHORT_MS));
        return shortPerS > usual + RISE_DEVIATIONS * deviation + RISE_PER_S ? shortPerS : usual;
    }

    private void decay(double now) {
        longPerS *= Math.exp(-(now - at) / LONG_MS);
        shortPerS *= Math.exp(-(now - at) / SHORT_MS);
        at = now;
    }
}
