package whinlead.decide;

import whinlead.Contract;

/** A server that can't be connected to is left alone, for a time that doubles; then one attempt tries it. */
final class Unreachable {
    // How often the wait, at first a period, doubles: the list tells of what is gone after some seconds.
    private static final int DOUBLINGS = 4;

    private int failed;
    private double until;

    // An attempt's end. Those sent before the first failure tell no more.
    void ended(double now, double period, Contract.Outcome how) {
        if (how == Contract.Outcome.CONNECT_FAILED && (failed == 0 || now >= until)) {
            until = now + period * (1 << Math.min(DOUBLINGS, failed++));
        } else if (how == Contract.Outcome.FULL || !how.neverRan) {
            failed = 0;
        }
    }

    boolean shuns(double now, int out) {
        return failed > 0 && (now < until || out > 0);
    }
}
