package whinlead.decide;

import whinlead.Contract;

/**
 * Probes the servers of the subset in turn. Requests earn the probes, which are spread over the time between requests.
 */
final class Probes {
    // Most that probes may cost per request, in units of the configured cost of one probe a request, and most probes
    // per request.
    private static final double MAX_COST_PER_REQUEST = 0.008;
    private static final double MAX_PER_REQUEST = 8;
    // Weight of a period in the rate at which requests earn probes.
    private static final double WEIGHT = 0.02;

    private final double probesPerRequest;
    private final double reportValidMs;
    private double tokens;
    private double earned;
    private double rate;
    private int next;

    Probes(Contract.Settings settings, double shortestTargetMs) {
        this.probesPerRequest = settings.limits().probes() && settings.reporting() == Contract.Reporting.WITH_PROBES
                ? Math.min(
                        MAX_PER_REQUEST,
                        MAX_COST_PER_REQUEST / Math.max(1e-9, settings.limits().probeCost()))
                : 0;
        this.reportValidMs = shortestTargetMs / 2;
    }

    void recordRequest() {
        earned += probesPerRequest;
    }

    void endPeriod(double nowMs, Node[] subset, Crowding crowding, Contract.Actions actions) {
        rate += (earned - rate) * WEIGHT;
        earned = 0;
        tokens = Math.min(tokens + rate, subset.length);
        for (int i = 0; i < subset.length && tokens >= 1; i++) {
            next = (next + 1) % subset.length;
            Node node = subset[next];
            if (nowMs - node.reported.inFlightAtMs > reportValidMs || crowding.inFlight(nowMs, node) < 1) {
                actions.probe(node.entry.id());
                tokens--;
            }
        }
    }
}
