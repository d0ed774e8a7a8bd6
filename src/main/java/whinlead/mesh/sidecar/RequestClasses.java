package whinlead.mesh.sidecar;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/**
 * Requests in the module's classes, by what may be repeated, by rank and by target: a grid, so that a new configuration
 * never makes the module forget what it has learned. Immutable.
 */
public final class RequestClasses {
    /** Ranks told apart; beyond the last, all are alike. */
    static final int RANKS = 4;
    /**
     * Targets, in milliseconds: from the first, each half as much again as the one before. The module acts ten times in
     * the first; with 400 it found its way back after a loss of all processes a second later.
     */
    private static final double FIRST_TARGET = 250;

    private static final double STEP = 1.5;
    private static final int TARGETS = 10;
    /** How often a module acts in the first target. */
    private static final double ACTS = 10;
    /** What a late answer is worth of a timely one. */
    private static final double LATE_WORTH = 0.3;

    private final List<Contract.RequestClass> classes = new ArrayList<>();

    /** The grid. */
    public RequestClasses() {
        for (int effect = 0; effect < 2; effect++) {
            for (int rank = 0; rank < RANKS; rank++) {
                for (int t = 0; t < TARGETS; t++) {
                    double target = FIRST_TARGET * Math.pow(STEP, t);
                    double worth = RANKS - rank;
                    classes.add(new Contract.RequestClass(
                            effect + "-" + rank + "-" + t,
                            worth,
                            worth * LATE_WORTH,
                            target,
                            0,
                            effect == 0 ? Contract.Effect.SAFE : Contract.Effect.UNSAFE,
                            Contract.Group.ALL,
                            0,
                            false));
                }
            }
        }
    }

    /** How often a module with these classes acts, in milliseconds. */
    static double period() {
        return FIRST_TARGET / ACTS;
    }

    /** All, in their order. */
    public List<Contract.RequestClass> all() {
        return List.copyOf(classes);
    }

    /** The position of a request's class; a target between two counts as the shorter. */
    public int of(boolean repeatable, int rank, double targetMs) {
        int t = (int) Math.floor(Math.log(Math.max(FIRST_TARGET, targetMs) / FIRST_TARGET) / Math.log(STEP));
        return ((repeatable ? 0 : RANKS) + Math.min(RANKS - 1, Math.max(0, rank))) * TARGETS + Math.min(TARGETS - 1, t);
    }
}
