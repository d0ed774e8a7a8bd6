package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One request's search for a token: control nodes are asked in turn, the next one as soon as one has none, or is silent
 * for too long. It ends once, with the first token, or when all have refused or its time is up. Pure.
 */
public final class TokenSearch {
    /** The longest search, in milliseconds; two round trips between distant zones. */
    public static final double MAX_MS = 200;
    /** Of a request's aim, how much its search may take. */
    public static final double AIM_PART = 0.25;
    /** Of a search's time, after how much without an answer the next control node is asked as well. */
    public static final double HEDGE_PART = 0.65;

    /** Does what the search asks for. */
    public interface Actions {
        /** Asks this control node for a token. */
        void ask(String controlNode);

        /** The request may go on. */
        void granted();

        /** There is no token; one may come in so many milliseconds, 0 if nobody told. */
        void denied(double waitMs);

        /** Nobody waits for the outcome any more. */
        void cancelled();
    }

    private final Deque<String> remaining;
    private final Actions actions;
    private int awaited;
    private double waitMs = Double.POSITIVE_INFINITY;
    private boolean isOver;

    /**
     * A search that has not begun.
     *
     * @param controlNodes to ask, in this order
     */
    public TokenSearch(List<String> controlNodes, Actions actions) {
        this.remaining = new ArrayDeque<>(controlNodes);
        this.actions = actions;
    }

    /** Begins. */
    public void begin() {
        askNext();
    }

    /** A control node that was asked answers. */
    public void answered(boolean granted, double itsWaitMs) {
        awaited--;
        if (isOver) {
            return;
        }
        if (granted) {
            isOver = true;
            actions.granted();
            return;
        }
        waitMs = Math.min(waitMs, itsWaitMs);
        askNext();
    }

    /** Those that were asked are silent: the next one is asked as well. */
    public void hedge() {
        if (!isOver && !remaining.isEmpty()) {
            askNext();
        }
    }

    /** Its request is not wanted any more. */
    public void cancel() {
        if (!isOver) {
            isOver = true;
            actions.cancelled();
        }
    }

    /** Its time is up. */
    public void end() {
        if (!isOver) {
            isOver = true;
            actions.denied(Double.isFinite(waitMs) ? waitMs : 0);
        }
    }

    private void askNext() {
        if (!remaining.isEmpty()) {
            awaited++;
            actions.ask(remaining.poll());
        } else if (awaited <= 0) {
            end();
        }
    }
}
