package whinlead.mesh.sidecar;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/**
 * Maps requests to the classes of the decision module, by idempotence, rank and latency target. The classes are a fixed
 * grid, so that a new configuration never makes the module lose what it has learned. Immutable.
 */
public final class RequestClasses {
    /** Number of ranks that are distinguished; all higher ones are treated like the last. */
    static final int RANK_COUNT = 4;
    /**
     * Latency targets in milliseconds: from this one on, each is 1.5 times the one before. The module runs ten periods
     * within the first target; with a first target of 400 ms it recovered one second later from a loss of all
     * processes.
     */
    private static final double MIN_TARGET_MS = 250;

    private static final double TARGET_STEP = 1.5;
    private static final int TARGET_COUNT = 10;
    /** Number of module periods in the shortest target. */
    private static final double PERIODS_PER_MIN_TARGET = 10;
    /** Value of a late response relative to a timely one. */
    private static final double LATE_WORTH_FRACTION = 0.3;

    private final List<Contract.RequestClass> classes = new ArrayList<>();

    /** Creates the grid. */
    public RequestClasses() {
        for (int effect = 0; effect < 2; effect++) {
            for (int rank = 0; rank < RANK_COUNT; rank++) {
                for (int targetIndex = 0; targetIndex < TARGET_COUNT; targetIndex++) {
                    double targetMs = MIN_TARGET_MS * Math.pow(TARGET_STEP, targetIndex);
                    double worth = RANK_COUNT - rank;
                    classes.add(new Contract.RequestClass(
                            effect + "-" + rank + "-" + targetIndex,
                            worth,
                            worth * LATE_WORTH_FRACTION,
                            targetMs,
                            0,
                            effect == 0 ? Contract.Effect.SAFE : Contract.Effect.UNSAFE,
                            Contract.Group.ALL,
                            0,
                            false));
                }
            }
        }
    }

    /** The period of a module with these classes, in milliseconds. */
    static double periodMs() {
        return MIN_TARGET_MS / PERIODS_PER_MIN_TARGET;
    }

    /** All classes in the order of their indexes. */
    public List<Contract.RequestClass> all() {
        return List.copyOf(classes);
    }

    /** The index of a request's class; a target between two grid values counts as the shorter one. */
    public int indexOf(boolean repeatable, int rank, double targetMs) {
        int targetIndex =
                (int) Math.floor(Math.log(Math.max(MIN_TARGET_MS, targetMs) / MIN_TARGET_MS) / Math.log(TARGET_STEP));
        return ((repeatable ? 0 : RANK_COUNT) + Math.min(RANK_COUNT - 1, Math.max(0, rank))) * TARGET_COUNT
                + Math.min(TARGET_COUNT - 1, targetIndex);
    }
}
