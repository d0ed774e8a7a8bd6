package whinlead.decide;

/** Reacts to a burst or a slow server before outcomes arrive: a server with more than its share in flight gets less. */
final class Crowding {
    // Slack, in attempts, on a server's number in flight and on the limit that it is compared with.
    private static final double SLACK = 0.5;
    // A server that reports a utilization under ROOM_BELOW_UTIL may have more than its usual number in flight, up to
    // this factor.
    private static final double ROOM_BELOW_UTIL = 0.75;
    private static final double MAX_ROOM_FACTOR = 2.5;
    // A server without recent bad outcomes may double its number in flight, as a sender in slow start may.
    private static final double HEALTHY_FACTOR = 2;
    // From this drop share on a server with nothing in flight is taken to be dead.
    private static final double DEAD_DROP_SHARE = 0.97;
    // The usual number in flight is at least this: a single attempt in flight is no overload.
    private static final double MIN_USUAL_IN_FLIGHT = 1;
    // A server counts as new for this many periods; all sidecars together may have an initial window (RFC 6928) in
    // flight at it.
    private static final int NEW_SERVER_PERIODS = 20;
    private static final double INITIAL_WINDOW = 10;

    private final Controller controller;
    // How long, in ms, a server's reported number in flight is used; the number allowed at a new server that reports
    // none.
    private final double reportValidMs;
    private final boolean noReports;
    private final double initialInFlight;
    // Mean number in flight at the servers of the current choice.
    private double meanInFlight;

    Crowding(Controller controller, double shortestTargetMs, boolean noReports, int sidecars) {
        this.controller = controller;
        this.noReports = noReports;
        this.initialInFlight =
                noReports ? Math.max(MIN_USUAL_IN_FLIGHT, INITIAL_WINDOW / sidecars) : MIN_USUAL_IN_FLIGHT;
        this.reportValidMs = shortestTargetMs;
    }

    // Called before a choice among these servers. A server that is fully dropped and has nothing in flight is dead and
    // does not lower the mean.
    void updateMean(double nowMs, Node[] nodes) {
        double sum = 0;
        int counted = 0;
        for (Node node : nodes) {
            double inFlight = inFlight(nowMs, node);
            sum += inFlight;
            counted += inFlight > 0 || node.dropShare < DEAD_DROP_SHARE ? 1 : 0;
        }
        meanInFlight = counted == 0 ? 0 : sum / counted;
    }

    // The drop share for a server with more in flight than usual, or, while it is not healthy, more than the mean.
    double dropShare(double nowMs, Node node) {
        double usual = Math.max(minUsualInFlight(node), node.usualInFlight);
        return Math.max(
                dropShare(usual * roomFactor(node), node.outstanding.countedInFlight()),
                excessShare(nowMs, node) * (1 - health(node)));
    }

    double minUsualInFlight(Node node) {
        return node.periods < NEW_SERVER_PERIODS ? initialInFlight : MIN_USUAL_IN_FLIGHT;
    }

    // Health as seen from the server's outcomes; 0 where servers report load, since reports show overload sooner.
    double health(Node node) {
        return noReports ? controller.health(node) : 0;
    }

    // The share to move away from a server with more than the mean in flight.
    double excessShare(double nowMs, Node node) {
        return dropShare(meanInFlight, inFlight(nowMs, node));
    }

    private static double dropShare(double allowed, double inFlight) {
        double ratio = Math.min(1, (allowed + SLACK) / (inFlight + SLACK));
        double square = ratio * ratio;
        double fourth = square * square;
        return 1 - fourth * fourth;
    }

    // How many times its usual number in flight a server has room for, by its reports or its outcomes. Guards against
    // a limit that perpetuates itself: refused requests bring no answers, and fewer answers lower the limit.
    private double roomFactor(Node node) {
        double reportedFactor = ROOM_BELOW_UTIL / Math.max(ROOM_BELOW_UTIL / MAX_ROOM_FACTOR, node.reported.util);
        return Math.max(1 + (HEALTHY_FACTOR - 1) * health(node), reportedFactor);
    }

    // A server's number in flight: its last report if recent, adjusted by our own sends and outcomes since, else our
    // own count.
    double inFlight(double nowMs, Node node) {
        return nowMs - node.reported.inFlightAtMs < reportValidMs
                ? Math.max(node.outstanding.count, node.reported.inFlight + node.reported.balanceSince)
                : node.outstanding.countedInFlight();
    }
}
