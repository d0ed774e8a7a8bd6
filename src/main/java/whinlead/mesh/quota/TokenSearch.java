package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One request's search for a token: control nodes are asked in turn, the next one when one has no token or does not
 * answer in time. The search ends once: with the first token, when all have refused, when its time is up, or when it is
 * cancelled. A token that arrives later is returned to the control node that gave it. Pure.
 */
public final class TokenSearch {
    /** The longest search, in milliseconds: two round trips between distant zones. */
    public static final double MAX_MS = 200;
    /** The fraction of a request's latency target that its search may take. */
    public static final double LATENCY_TARGET_FRACTION = 0.25;
    /** The fraction of a search's time without an answer after which the next control node is also asked. */
    public static final double HEDGE_FRACTION = 0.65;
    /**
     * If the allowance has a smaller depth than this for each control node, one node is often empty while others are
     * not, and asking them one after another takes too long: two are asked at the same time.
     */
    private static final double SHALLOW_DEPTH_PER_NODE = 4;

    private static final int SHALLOW_PARALLELISM = 2;

    /** Carries out the search's actions. */
    public interface Actions {
        /** Asks this control node for a token. */
        void requestToken(String controlNode);

        /** The request may proceed. */
        void granted();

        /** This control node gave a token that is no longer needed. */
        void returnToken(String controlNode);

        /** There is no token; one may be available in this many milliseconds, 0 if not known. */
        void denied(double waitMs);

        /** The search was cancelled before it had a result. */
        void cancelled();
    }

    private final Deque<String> remainingNodes;
    private final Actions actions;
    private final int parallelism;
    private int pendingAnswers;
    private double waitMs = Double.POSITIVE_INFINITY;
    private boolean isOver;

    /**
     * Creates a search, which {@link #begin} starts.
     *
     * @param controlNodes to ask, in this order
     * @param allowance of the tenant over the whole mesh
     */
    public TokenSearch(List<String> controlNodes, QuotaAllowance allowance, Actions actions) {
        this.remainingNodes = new ArrayDeque<>(controlNodes);
        this.actions = actions;
        boolean isShallow = allowance.depth() < SHALLOW_DEPTH_PER_NODE * controlNodes.size();
        this.parallelism = isShallow ? SHALLOW_PARALLELISM : 1;
    }

    /** Starts the search. */
    public void begin() {
        for (int i = 0; i < parallelism && !isOver; i++) {
            askNextNode();
        }
    }

    /** Handles a control node's answer. */
    public void onAnswer(String controlNode, boolean granted, double nodeWaitMs) {
        pendingAnswers--;
        if (isOver) {
            if (granted) {
                actions.returnToken(controlNode);
            }
            return;
        }
        if (granted) {
            isOver = true;
            actions.granted();
            return;
        }
        waitMs = Math.min(waitMs, nodeWaitMs);
        askNextNode();
    }

    /** Asks the next control node as well, because those asked so far have not answered. */
    public void hedge() {
        if (!isOver && !remainingNodes.isEmpty()) {
            askNextNode();
        }
    }

    /** Ends the search because the request was cancelled. */
    public void cancel() {
        if (!isOver) {
            isOver = true;
            actions.cancelled();
        }
    }

    /** Ends the search without a token, because its time is up or all control nodes have refused. */
    public void end() {
        if (!isOver) {
            isOver = true;
            actions.denied(Double.isFinite(waitMs) ? waitMs : 0);
        }
    }

    private void askNextNode() {
        if (!remainingNodes.isEmpty()) {
            pendingAnswers++;
            actions.requestToken(remainingNodes.poll());
        } else if (pendingAnswers <= 0) {
            end();
        }
    }
}
