package whinlead.decide;

/** Against a burst, or a slow server, before outcomes tell: one that holds over its share passes less. */
final class Crowding {
    // What is out at a server beyond the subset's mean is drawn against, with this slack.
    private static final double SLACK = 0.5;
    // A server that reports a busy share under this may hold more than that, up to so many times as much.
    private static final double ROOM_BELOW = 0.75;
    private static final double MAX_ROOM = 2.5;
    // A server none of whose late outcomes was bad may double what it holds, as a sender in slow start may.
    private static final double SOUND = 2;
    // From this percentage on a server that holds nothing is taken to be dead.
    private static final double SHUT = 0.97;
    // A server is taken to hold so many when well, whatever it answered: one attempt out is no crowd.
    private static final double MIN_WELL = 1;
    // For so many periods nothing is known of a new server; all sidecars may hold a first window (RFC 6928).
    private static final int FRESH = 20;
    private static final double WINDOW = 10;

    private final Controller controller;
    // For so long a server's own word of what it holds stands; without any, what it may hold at first.
    private final double reportStands;
    private final boolean unreported;
    private final double first;
    // Mean of what the servers looked at hold, as of the walk under way.
    private double mean;

    Crowding(Controller controller, double shortestAim, boolean unreported, int sidecars) {
        this.controller = controller;
        this.unreported = unreported;
        this.first = unreported ? Math.max(MIN_WELL, WINDOW / sidecars) : MIN_WELL;
        this.reportStands = shortestAim;
    }

    // Before a walk over these servers. One that is shut and holds none is dead, and lowers no mean.
    void look(double now, Node[] nodes) {
        double sum = 0;
        int open = 0;
        for (Node n : nodes) {
            double h = held(now, n);
            sum += h;
            open += h > 0 || n.percentage < SHUT ? 1 : 0;
        }
        mean = open == 0 ? 0 : sum / open;
    }

    // The share to turn away from a server that holds more than when well, or than the mean while not sound.
    double share(double now, Node n) {
        double well = Math.max(least(n), n.wellHeld);
        return Math.max(share(well * room(n), n.out.counted()), uneven(now, n) * (1 - sound(n)));
    }

    double least(Node n) {
        return n.periods < FRESH ? first : MIN_WELL;
    }

    // By how much a server's answers vouch for it. Where servers report, their own word tells sooner.
    double sound(Node n) {
        return unreported ? controller.soundness(n) : 0;
    }

    // The share to take elsewhere from one that holds more than the mean.
    double uneven(double now, Node n) {
        return share(mean, held(now, n));
    }

    private static double share(double wanted, double held) {
        double ratio = Math.min(1, (wanted + SLACK) / (held + SLACK));
        double square = ratio * ratio;
        double fourth = square * square;
        return 1 - fourth * fourth;
    }

    // How many times what it holds when well a server has room for, by its own word or its answers. Guards
    // against a draw that holds itself down: what is refused brings no answers, and fewer let less through.
    private double room(Node n) {
        double told = ROOM_BELOW / Math.max(ROOM_BELOW / MAX_ROOM, n.reported.util);
        return Math.max(1 + (SOUND - 1) * sound(n), told);
    }

    // What a server holds: as it reported within an aim, with what we sent and got back since, else our own.
    double held(double now, Node n) {
        return now - n.reported.heldAt < reportStands
                ? Math.max(n.out.count, n.reported.held + n.reported.since)
                : n.out.counted();
    }
}
