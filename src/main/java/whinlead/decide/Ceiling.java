package whinlead.decide;

/**
 * The whole subset's percentage, drawn before any server's where they tell nothing of their load: the walk multiplies
 * what passes, so that a burst fills all servers before each one's percentage is near 100. After BBR's bandwidth-delay
 * product: the highest rate answered times the usual time.
 */
final class Ceiling {
    // Weight of a period in what the subset holds when well; what stays of the highest, for minutes.
    private static final double WEIGHT = 0.1;
    private static final double KEEP = 0.9998;
    // What may be held beyond: more where the walk is short, and so many roots, for chance; how steep it is.
    private static final double SLACK = 2;
    private static final double ROOTS = 0.3;
    private static final double STEEP = 64;
    // No usual time counts as less than this share of the aim: nobody is served worse for it.
    private static final double FLOOR = 0.28;

    private double answered;
    private double well;
    private double highest;

    void answered(double usual, double aim) {
        answered += Math.max(usual, aim * FLOOR);
    }

    void period(double span) {
        well += (answered / span - well) * WEIGHT;
        highest = Math.max(well, highest * KEEP);
        answered = 0;
    }

    double share(Node[] subset, Crowding crowding) {
        double held = 0;
        double most = 0;
        for (Node n : subset) {
            held += n.out.counted();
            most += crowding.least(n);
        }
        most = Math.max(most, highest);
        most += SLACK / subset.length * most + ROOTS * Math.sqrt(most);
        return held <= most ? 0 : 1 - Math.pow(most / held, STEEP);
    }
}
