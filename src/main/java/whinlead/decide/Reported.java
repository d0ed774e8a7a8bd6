package whinlead.decide;

import whinlead.Contract;

/** What one server last told of itself. */
final class Reported {
    // The busy share that is wanted; beyond it a report counts as this many outcomes not accepted in part.
    private static final double UTIL_WANTED = 0.9;
    // Its busy share tells of room from this one down, of ease from that one.
    private static final double UTIL_ROOM = 0.7;
    private static final double UTIL_EASY = 0.3;
    static final int OUTCOMES = 3;
    // A busy share under or over these is nonsense, or too small to divide by.
    private static final double MIN_UTIL = 0.1;
    private static final double MAX_UTIL = 1.5;
    // A sidecar that itself sends one in this many of a server's requests knows its load without reports.
    private static final double SEEN_ENOUGH = 4;
    // Weight of a report in the size of a server.
    private static final double SIZE_WEIGHT = 0.2;
    private static final double SECOND = 1000;

    // What it reported to hold, when, and our own sends less outcomes since then.
    double held;
    double heldAt = Double.NEGATIVE_INFINITY;
    int since;
    // Requests a second it could serve.
    double capacity;
    // The busy share, if there was a report of it.
    double util = 1;
    boolean any;

    // Takes in a report that came with an answer, and tells how far the busy share is over the wanted one, as
    // the paper's overloaded node reckons it: the load of all the others, so it counts less the more of it is
    // our own. Requests a second by busy share are the server's size.
    double strain(Contract.Report r, double sendRate) {
        if (r == null
                || !(r.util() >= 0 && r.util() <= MAX_UTIL && r.perSecond() > 0)
                || r.perSecond() == Double.POSITIVE_INFINITY) {
            return 0;
        }
        any = true;
        util += (r.util() - util) * SIZE_WEIGHT;
        if (r.util() >= MIN_UTIL) {
            capacity += (r.perSecond() / r.util() - capacity) * (capacity > 0 ? SIZE_WEIGHT : 1);
        }
        double over = Math.min(1, Math.max(0, (r.util() - UTIL_WANTED) / (1 - UTIL_WANTED)));
        double ours = sendRate * SECOND / r.perSecond();
        return over * Math.max(0, 1 - SEEN_ENOUGH * ours);
    }

    // From 1, where it has little to do or tells nothing, to 0.
    double ease() {
        return any ? Math.max(0, Math.min(1, (UTIL_ROOM - util) / (UTIL_ROOM - UTIL_EASY))) : 1;
    }

    void probed(double now, Contract.Report r) {
        if (r != null && r.inflight() >= 0 && r.inflight() < Double.POSITIVE_INFINITY) {
            held = r.inflight();
            heldAt = now;
            since = 0;
        }
    }
}
