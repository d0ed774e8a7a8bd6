package whinlead.decide;

import whinlead.Contract;

/** This sidecar's own percentage, for too little processor or room, drawn first: servers' must not move. */
final class Strain {
    // Weight of a period in how late the loop is; the share of the shortest aim that is let be.
    private static final double WEIGHT = 0.1;
    private static final double TARGET = 0.1;
    private static final double STEP_UP = 0.1;
    private static final double STEP_DOWN = 0.02;
    // Of the places at the front, those that fill with what is worth most: beyond them nothing is taken.
    private static final double KEPT = 0.1;

    private final double target;
    private double late;
    double percentage;

    Strain(double shortestAim) {
        this.target = shortestAim * TARGET;
    }

    // With this share of the places free, where so much of the traffic is worth less than the most.
    double share(double room, double lesser) {
        return Math.max(percentage, lesser * Math.max(0, 1 - room / KEPT));
    }

    void period(double lateNow, Contract.Actions out) {
        late += (Math.max(0, lateNow) - late) * WEIGHT;
        boolean shed = percentage > 0;
        percentage = late > target ? percentage + (1 - percentage) * STEP_UP : Math.max(0, percentage - STEP_DOWN);
        if (shed != percentage > 0) {
            out.log(shed ? "own loop in time again" : "own loop late: shedding for it");
        }
    }
}
