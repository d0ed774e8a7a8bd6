package whinlead.mesh.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One request's search for a token: control nodes are asked in turn, the next one as soon as one has none, or is silent
 * for too long. It ends once, with the first token, or when all have refused or its time is up; a token that comes
 * after that goes back to the control node that gave it. Pure.
 */
public final class TokenSearch {
    /** The longest search, in milliseconds; two round trips between distant zones. */
    public static final double MAX_MS = 200;
    /** Of a request's aim, how much its search may take. */
    public static final double AIM_PART = 0.25;
    /** Of a search's time, after how much without an answer the next control node is asked as well. */
    public static final double HEDGE_PART = 0.65;
    /**
     * Where all control nodes together have room for fewer tokens than so many each, one is often empty while others
     * are not, and an answer and a second question take too long: two are asked at once.
     */
    private static final double SHALLOW_DEPTH = 4;

    private static final int ASKED_AT_ONCE_IF_SHALLOW = 2;

    /** Does what the search asks for. */
    public interface Actions {
        /** Asks this control node for a token. */
        void ask(String controlNode);

        /** The request may go on. */
        void granted();

        /** This control node gave a token that is not needed any more. */
        void surplus(String controlNode);

        /** There is no token; one may come in so many milliseconds, 0 if nobody told. */
        void denied(double waitMs);

        /** Nobody waits for the outcome any more. */
        void cancelled();
    }

    private final Deque<String> remaining;
    private final Actions actions;
    private final int askedAtOnce;
    private int awaited;
    private double waitMs = Double.POSITIVE_INFINITY;
    private boolean isOver;

    /**
     * A search that has not begun.
     *
     * @param controlNodes to ask, in this order
     * @param allowance what may be spent of the tenant's limit in all
     */
    public TokenSearch(List<String> controlNodes, QuotaAllowance allowance, Actions actions) {
        this.remaining = new ArrayDeque<>(controlNodes);
        this.actions = actions;
        boolean shallow = allowance.depth() < SHALLOW_DEPTH * controlNodes.size();
        this.askedAtOnce = shallow ? ASKED_AT_ONCE_IF_SHALLOW : 1;
    }

    /** Begins. */
    public void begin() {
        for (int i = 0; i < askedAtOnce && !isOver; i++) {
            askNext();
        }
    }

    /** A control node that was asked answers. */
    public void answered(String controlNode, boolean granted, double itsWaitMs) {
        awaited--;
        if (isOver) {
            if (granted) {
                actions.surplus(controlNode);
            }
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
