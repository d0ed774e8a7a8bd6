package whinlead.decide;

/**
 * A drop share for the whole subset, drawn before any server's where servers report no load. The choice of a server
 * tries each server in turn, which multiplies the chance to pass, so without this a burst would fill all servers before
 * the drop share of each one is near 100 %. Modelled on BBR's bandwidth-delay product: the highest answer rate times
 * the usual answer time.
 */
final class Ceiling {
    // Weight of a period in the subset's usual number in flight; the highest value decays over minutes.
    private static final double WEIGHT = 0.1;
    private static final double HIGHEST_DECAY = 0.9998;
    // Number allowed in flight beyond that: a relative slack, larger where the subset is small, and a multiple of the
    // square root for random variation; how steep the drop share is.
    private static final double RELATIVE_SLACK = 2;
    private static final double SQRT_SLACK = 0.3;
    private static final double STEEPNESS = 64;
    // A usual answer time counts as at least this share of the latency target, since answers faster than that are no
    // better for the client.
    private static final double MIN_USUAL_SHARE = 0.28;

    private double answeredWork;
    private double usualInFlight;
    private double highestInFlight;

    void answeredWork(double usualMs, double targetMs) {
        answeredWork += Math.max(usualMs, targetMs * MIN_USUAL_SHARE);
    }

    void endPeriod(double periodMs) {
        usualInFlight += (answeredWork / periodMs - usualInFlight) * WEIGHT;
        highestInFlight = Math.max(usualInFlight, highestInFlight * HIGHEST_DECAY);
        answeredWork = 0;
    }

    double dropShare(Node[] subset, Crowding crowding) {
        double inFlight = 0;
        double limit = 0;
        for (Node node : subset) {
            inFlight += node.outstanding.countedInFlight();
            limit += crowding.minUsualInFlight(node);
        }
        limit = Math.max(limit, highestInFlight);
        limit += RELATIVE_SLACK / subset.length * limit + SQRT_SLACK * Math.sqrt(limit);
        return inFlight <= limit ? 0 : 1 - Math.pow(limit / inFlight, STEEPNESS);
    }
}
