package whinlead.admit;

import java.util.EnumMap;
import java.util.Map;

/**
 * Divides the process's file descriptors by purpose, and moves them with hysteresis from a purpose that does not need
 * its share to one that was refused descriptors. The total never exceeds the sum of the initial shares: a purpose gains
 * only what another has given up and no longer uses. It uses no socket, clock or thread: the caller reports use and
 * refusals and asks for limits.
 */
public final class Budget {
    /** What a descriptor is used for. */
    public enum Purpose {
        /** Connections from clients. */
        CLIENTS,
        /** Connections to endpoints. */
        ENDPOINTS
    }

    /**
     * A purpose's share.
     *
     * @param initial descriptors at the start; at least 1
     * @param minimum the share is never lowered below this; from 1 to the initial share
     */
    public record Share(int initial, int minimum) {
        /** Checks the ranges. */
        public Share {
            if (minimum < 1 || initial < minimum) {
                throw new IllegalArgumentException("share out of range");
            }
        }
    }

    /** A lender keeps its recent peak use plus its initial share divided by this. */
    private static final int MARGIN_DIVISOR = 8;
    /** A lender gives its initial share divided by this in one step. */
    private static final int STEP_DIVISOR = 16;
    /** Factor by which the recorded peak use decays per tick: half remains after 35 ticks. */
    private static final double PEAK_DECAY = 0.98;
    /** Consecutive ticks with a refusal before a purpose borrows. */
    private static final int MIN_REFUSED_TICKS = 2;
    /** Ticks without a refusal after which one step is returned. */
    private static final int CALM_TICKS = 150;

    private static final class State {
        private final Share share;
        private int limit;
        private int used;
        private double peak;
        private boolean refused;
        private int refusedTicks;
        private int ticksSinceRefusal;

        private State(Share share) {
            this.share = share;
            this.limit = share.initial();
        }

        private int spare() {
            int needed = (int) Math.ceil(peak) + share.initial() / MARGIN_DIVISOR;
            return limit - Math.max(share.minimum(), needed);
        }
    }

    private final Map<Purpose, State> states = new EnumMap<>(Purpose.class);

    /** Creates a budget in which each purpose has its initial share. */
    public Budget(Map<Purpose, Share> shares) {
        shares.forEach((purpose, share) -> states.put(purpose, new State(share)));
    }

    /** A budget of one purpose with a constant limit. */
    public static Budget fixed(Purpose purpose, int limit) {
        return new Budget(Map.of(purpose, new Share(limit, limit)));
    }

    /** Sets the number of descriptors that a purpose uses now. */
    public void setUsed(Purpose purpose, int count) {
        State state = states.get(purpose);
        state.used = count;
        state.peak = Math.max(state.peak, count);
    }

    /** Records that a purpose could not open a descriptor, or had to close another first. */
    public void recordRefusal(Purpose purpose) {
        states.get(purpose).refused = true;
    }

    /** The descriptors that a purpose may use now: its share, less what others use beyond theirs. */
    public int limit(Purpose purpose) {
        int excess = 0;
        for (Map.Entry<Purpose, State> entry : states.entrySet()) {
            excess += entry.getKey() == purpose ? 0 : Math.max(0, entry.getValue().used - entry.getValue().limit);
        }
        return Math.max(1, states.get(purpose).limit - excess);
    }

    /** Moves shares according to the refusals since the last tick. */
    public void tick() {
        for (State state : states.values()) {
            state.refusedTicks = state.refused ? state.refusedTicks + 1 : 0;
            state.ticksSinceRefusal = state.refused ? 0 : state.ticksSinceRefusal + 1;
        }
        for (State state : states.values()) {
            if (state.limit < state.share.initial() && state.refused) {
                // A refused lender regains what it has lent at once: it has priority over the borrower.
                takeBack(state);
            } else if (state.refusedTicks >= MIN_REFUSED_TICKS) {
                borrow(state);
            } else if (state.limit > state.share.initial() && state.ticksSinceRefusal >= CALM_TICKS) {
                giveBack(state, state.share.initial() / STEP_DIVISOR);
                state.ticksSinceRefusal = 0;
            }
        }
        for (State state : states.values()) {
            state.refused = false;
            state.peak = Math.max(state.used, state.peak * PEAK_DECAY);
        }
    }

    private void borrow(State borrower) {
        State lender = null;
        for (State other : states.values()) {
            boolean lends = other != borrower && other.refusedTicks == 0 && other.spare() > 0;
            if (lends && (lender == null || other.spare() > lender.spare())) {
                lender = other;
            }
        }
        if (lender != null) {
            int step = Math.min(lender.spare(), Math.max(1, lender.share.initial() / STEP_DIVISOR));
            lender.limit -= step;
            borrower.limit += step;
        }
    }

    private void takeBack(State owner) {
        for (State borrower : states.values()) {
            int lent = Math.min(borrower.limit - borrower.share.initial(), owner.share.initial() - owner.limit);
            if (borrower != owner && lent > 0) {
                borrower.limit -= lent;
                owner.limit += lent;
            }
        }
    }

    private void giveBack(State borrower, int maxStep) {
        for (State lender : states.values()) {
            int step = Math.min(
                    Math.max(1, maxStep),
                    Math.min(borrower.limit - borrower.share.initial(), lender.share.initial() - lender.limit));
            if (lender != borrower && step > 0) {
                borrower.limit -= step;
                lender.limit += step;
            }
        }
    }
}
