package whinlead.decide;

import whinlead.Contract;

/** Probes the subset in turn, as far as requests pay for it, spread over the time between them. */
final class Probes {
    // What probes may cost, in the site's own price for a probe a request, and the most of them a request.
    private static final double SPEND = 0.008;
    private static final double MOST = 8;
    // Weight of a period in the rate at which requests pay for probes.
    private static final double WEIGHT = 0.02;

    private final double perRequest;
    private final double reportStands;
    private double tokens;
    private double earned;
    private double rate;
    private int next;

    Probes(Contract.Settings settings, double shortestAim) {
        this.perRequest = settings.limits().probes() && settings.reporting() == Contract.Reporting.WITH_PROBES
                ? Math.min(MOST, SPEND / Math.max(1e-9, settings.limits().probeCost()))
                : 0;
        this.reportStands = shortestAim / 2;
    }

    void arrived() {
        earned += perRequest;
    }

    void period(double now, Node[] subset, Crowding crowding, Contract.Actions out) {
        rate += (earned - rate) * WEIGHT;
        earned = 0;
        tokens = Math.min(tokens + rate, subset.length);
        for (int i = 0; i < subset.length && tokens >= 1; i++) {
            next = (next + 1) % subset.length;
            Node n = subset[next];
            if (now - n.reported.heldAt > reportStands || crowding.held(now, n) < 1) {
                out.probe(n.entry.id());
                tokens--;
            }
        }
    }
}
