package whinlead.decide;

import whinlead.Contract;

/**
 * This sidecar's own drop share for lack of CPU time or free places, drawn first so that the drop shares of servers do
 * not move.
 */
final class Strain {
    // Weight of a period in the mean loop delay; the tolerated delay as a share of the shortest latency target.
    private static final double WEIGHT = 0.1;
    private static final double TOLERATED_SHARE = 0.1;
    private static final double STEP_UP = 0.1;
    private static final double STEP_DOWN = 0.02;
    // Share of the places at the front reserved for requests of the highest worth. With no place left everything of
    // lower worth is dropped.
    private static final double RESERVED_SHARE = 0.1;

    private final double toleratedDelayMs;
    private double meanDelayMs;
    double delayDropShare;

    Strain(double shortestTargetMs) {
        this.toleratedDelayMs = shortestTargetMs * TOLERATED_SHARE;
    }

    // The drop share with this share of the places free, where lowerWorthShare of the traffic is below the highest
    // worth.
    double dropShare(double freeShare, double lowerWorthShare) {
        return Math.max(delayDropShare, lowerWorthShare * Math.max(0, 1 - freeShare / RESERVED_SHARE));
    }

    void endPeriod(double loopDelayMs, Contract.Actions actions) {
        meanDelayMs += (Math.max(0, loopDelayMs) - meanDelayMs) * WEIGHT;
        boolean wasShedding = delayDropShare > 0;
        delayDropShare = meanDelayMs > toleratedDelayMs
                ? delayDropShare + (1 - delayDropShare) * STEP_UP
                : Math.max(0, delayDropShare - STEP_DOWN);
        if (wasShedding != delayDropShare > 0) {
            actions.log(wasShedding ? "own loop in time again" : "own loop late: shedding for it");
        }
    }
}
