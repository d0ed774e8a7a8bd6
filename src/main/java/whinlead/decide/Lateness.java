package whinlead.decide;

import java.util.List;
import whinlead.Contract;

/**
 * Grades how late an answer is against the usual time of its class. Against the latency target alone, a queue would
 * only be noticed once the answers in it are already too late.
 */
final class Lateness {
    // An answer is late from the usual time of its class on, and fully late at this multiple of it.
    private static final double FULLY_LATE_MULTIPLE = 5;
    // Weight of an answer in the recent time of its class, and of a period in the upward drift of the usual time.
    private static final double RECENT_WEIGHT = 0.05;
    private static final double DRIFT_WEIGHT = 0.0003;
    // Initial usual time as a share of the latency target.
    private static final double INITIAL_USUAL_SHARE = 0.3;
    // Factor on the sums of times per period: about one second of outcomes.
    private static final double SUM_DECAY = 0.95;
    // Minimum usual time as a share of the latency target: answers faster than this are no better for the client, and
    // this sidecar's own pauses are longer.
    private static final double MIN_USUAL_SHARE = 0.1;
    // While more than this share is refused for another reason than load, the usual time rises faster to the recent
    // time: at most by this part in a period, and up to this share of the latency target.
    private static final double RAISE_FROM_REFUSED = 0.5;
    private static final double MAX_RAISE_WEIGHT = 0.1;
    private static final double MAX_RAISED_SHARE = 0.4;
    // Factor per period on the delay of this sidecar's own event loop.
    private static final double STALL_DECAY = 0.9;

    private final double[] targetMs;
    // Recent mean answer time of each class, and the usual time: the lowest recent mean so far.
    private final double[] recentMs;
    private final double[] usualMs;
    private double stallMs;
    private double usualSumMs = 1;
    private double durationSumMs = 1;
    // Speed of answers against the usual: 1, or less when they are slower.
    double pace = 1;

    Lateness(List<Contract.RequestClass> classes) {
        this.targetMs = classes.stream()
                .mapToDouble(Contract.RequestClass::latencyTarget)
                .toArray();
        this.recentMs = classes.stream()
                .mapToDouble(c -> c.latencyTarget() * INITIAL_USUAL_SHARE)
                .toArray();
        this.usualMs = recentMs.clone();
    }

    // Usual answer time of this class, and at least the shortest time that can be told from this sidecar's own delays.
    double usualMs(int classIndex) {
        return Math.max(usualMs[classIndex], targetMs[classIndex] * MIN_USUAL_SHARE + stallMs);
    }

    // Lateness from 0, as fast as usual, to 1.
    double degree(double durationMs, int classIndex) {
        double lateFromMs = usualMs(classIndex);
        return Math.max(0, Math.min(1, (durationMs - lateFromMs) / (lateFromMs * (FULLY_LATE_MULTIPLE - 1))));
    }

    void recordAnswer(double durationMs, int classIndex) {
        usualSumMs += usualMs(classIndex);
        durationSumMs += Math.max(durationMs, usualMs(classIndex));
        recentMs[classIndex] += (durationMs - recentMs[classIndex]) * RECENT_WEIGHT;
    }

    // Called once a period with the share recently refused for another reason than load, and the delay of this call in
    // ms.
    void endPeriod(double refusedShare, double loopDelayMs) {
        pace = usualSumMs / durationSumMs;
        stallMs = Math.max(loopDelayMs, stallMs * STALL_DECAY);
        double raiseWeight =
                MAX_RAISE_WEIGHT * Math.max(0, (refusedShare - RAISE_FROM_REFUSED) / (1 - RAISE_FROM_REFUSED));
        for (int i = 0; i < usualMs.length; i++) {
            usualMs[i] =
                    recentMs[i] < usualMs[i] ? recentMs[i] : usualMs[i] + (recentMs[i] - usualMs[i]) * DRIFT_WEIGHT;
            usualMs[i] += Math.max(0, Math.min(recentMs[i], targetMs[i] * MAX_RAISED_SHARE) - usualMs[i]) * raiseWeight;
        }
        usualSumMs = 1 + (usualSumMs - 1) * SUM_DECAY;
        durationSumMs = 1 + (durationSumMs - 1) * SUM_DECAY;
    }
}
