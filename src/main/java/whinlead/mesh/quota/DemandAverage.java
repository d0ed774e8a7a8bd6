package whinlead.mesh.quota;

/**
 * Request rate of one tenant at one sidecar as exponentially decaying averages. The long one keeps shares from
 * following random variation; the short one is used while it shows a rise that random variation does not explain. Pure;
 * times in milliseconds.
 */
final class DemandAverage {
    private static final double LONG_DECAY_MS = 4000;
    private static final double SHORT_DECAY_MS = 800;
    /**
     * The short average counts as a rise if it exceeds the long one by more than this many standard deviations of the
     * short average plus {@link #RISE_PER_S} requests a second.
     */
    private static final double RISE_DEVIATIONS = 3;

    private static final double RISE_PER_S = 4;
    /** The first request counts as if it were the only one of this many milliseconds. */
    private static final double FIRST_REQUEST_PERIOD_MS = 2000;

    private static final double MILLIS_PER_SECOND = 1000;

    private final double startedAtMs;
    private double longPerS;
    private double shortPerS;
    private double updatedAtMs;

    DemandAverage(double nowMs) {
        startedAtMs = nowMs;
        updatedAtMs = nowMs;
    }

    void countRequest(double nowMs) {
        decay(nowMs);
        longPerS += MILLIS_PER_SECOND / LONG_DECAY_MS;
        shortPerS += MILLIS_PER_SECOND / SHORT_DECAY_MS;
    }

    double perSecond(double nowMs) {
        decay(nowMs);
        // Corrects for an average that has been running for less than its full decay time.
        double completeness = 1 - Math.exp(-(nowMs - startedAtMs + FIRST_REQUEST_PERIOD_MS) / LONG_DECAY_MS);
        double longAveragePerS = longPerS / completeness;
        double deviation = Math.sqrt(longAveragePerS * MILLIS_PER_SECOND / (2 * SHORT_DECAY_MS));
        return shortPerS > longAveragePerS + RISE_DEVIATIONS * deviation + RISE_PER_S ? shortPerS : longAveragePerS;
    }

    private void decay(double nowMs) {
        longPerS *= Math.exp(-(nowMs - updatedAtMs) / LONG_DECAY_MS);
        shortPerS *= Math.exp(-(nowMs - updatedAtMs) / SHORT_DECAY_MS);
        updatedAtMs = nowMs;
    }
}
