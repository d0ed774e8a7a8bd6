package whinlead.decide;

import whinlead.Contract;

/** The load that one server last reported. */
final class Reported {
    // Wanted utilization. A report counts as REPORT_WEIGHT outcomes, bad to the extent that it exceeds this.
    private static final double WANTED_UTIL = 0.9;
    // Utilization below which a server has room, and below which it counts as idle.
    private static final double ROOM_BELOW_UTIL = 0.7;
    private static final double IDLE_BELOW_UTIL = 0.3;
    static final int REPORT_WEIGHT = 3;
    // A utilization above MAX_UTIL is invalid; one below MIN_UTIL is too small to divide by.
    private static final double MIN_UTIL = 0.1;
    private static final double MAX_UTIL = 1.5;
    // A sidecar that sends one in this many of a server's requests sees its load without reports.
    private static final double OWN_TRAFFIC_DIVISOR = 4;
    // Weight of a report in the estimated size of a server.
    private static final double SIZE_WEIGHT = 0.2;
    private static final double SECOND_MS = 1000;

    // Reported number in flight, when it was reported, and our own sends minus outcomes since then.
    double inFlight;
    double inFlightAtMs = Double.NEGATIVE_INFINITY;
    int balanceSince;
    // Estimated capacity in requests per second.
    double capacity;
    // Smoothed utilization, and whether any was reported.
    double util = 1;
    boolean utilKnown;

    // Processes a report that came with an answer, and returns how far the utilization exceeds the wanted one, as the
    // overloaded node of the published design computes it. This measures the load of all sidecars, so it counts less
    // the more of it is our own. Requests per second divided by utilization is the server's capacity.
    double excessLoad(Contract.Report report, double sendRate) {
        if (report == null
                || !(report.util() >= 0 && report.util() <= MAX_UTIL && report.perSecond() > 0)
                || report.perSecond() == Double.POSITIVE_INFINITY) {
            return 0;
        }
        utilKnown = true;
        util += (report.util() - util) * SIZE_WEIGHT;
        if (report.util() >= MIN_UTIL) {
            capacity += (report.perSecond() / report.util() - capacity) * (capacity > 0 ? SIZE_WEIGHT : 1);
        }
        double excess = Math.min(1, Math.max(0, (report.util() - WANTED_UTIL) / (1 - WANTED_UTIL)));
        double ownShare = sendRate * SECOND_MS / report.perSecond();
        return excess * Math.max(0, 1 - OWN_TRAFFIC_DIVISOR * ownShare);
    }

    // Spare capacity from 1, where the server is idle or reports nothing, to 0.
    double spareCapacity() {
        return utilKnown ? Math.max(0, Math.min(1, (ROOM_BELOW_UTIL - util) / (ROOM_BELOW_UTIL - IDLE_BELOW_UTIL))) : 1;
    }

    void recordProbe(double nowMs, Contract.Report report) {
        if (report != null && report.inflight() >= 0 && report.inflight() < Double.POSITIVE_INFINITY) {
            inFlight = report.inflight();
            inFlightAtMs = nowMs;
            balanceSince = 0;
        }
    }
}
