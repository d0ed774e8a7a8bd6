package whinlead.decide;

import whinlead.Contract;

/** Avoids a server that can't be connected to for a time that doubles; after that a single attempt tries it again. */
final class Unreachable {
    // How often the wait, at first one period, doubles. The server list removes a dead server after some seconds.
    private static final int DOUBLINGS = 4;

    private int failures;
    private double avoidUntilMs;

    // Records the outcome of an attempt. Failures of attempts sent before the first failure add nothing.
    void recordOutcome(double nowMs, double periodMs, Contract.Outcome outcome) {
        if (outcome == Contract.Outcome.CONNECT_FAILED && (failures == 0 || nowMs >= avoidUntilMs)) {
            avoidUntilMs = nowMs + periodMs * (1 << Math.min(DOUBLINGS, failures++));
        } else if (outcome == Contract.Outcome.FULL || !outcome.neverRan) {
            failures = 0;
        }
    }

    boolean avoids(double nowMs, int inFlight) {
        return failures > 0 && (nowMs < avoidUntilMs || inFlight > 0);
    }
}
