package whinlead.admit;

import java.util.EnumMap;
import java.util.Map;

/**
 * Shares out the process's file descriptors by purpose, and moves them from one that does not need its share to one
 * that was refused some, with hysteresis. All purposes together never hold more than their first shares were: what a
 * purpose is given, another has given up and no longer uses. No socket, clock or thread: it is told what is used and
 * refused, and asked what may be opened.
 */
public final class Budget {
    /** What descriptors are for. */
    public enum Purpose {
        /** Connections from clients. */
        CLIENTS,
        /** Connections to endpoints. */
        ENDPOINTS
    }

    /**
     * A purpose's share.
     *
     * @param first descriptors at the start; at least 1
     * @param least it gives up none below this; from 1 to {@code first}
     */
    public record Share(int first, int least) {
        /** Checks the ranges. */
        public Share {
            if (least < 1 || first < least) {
                throw new IllegalArgumentException("share out of range");
            }
        }
    }

    /** Of its first share, what a purpose that gives keeps beyond the most that it lately used. */
    private static final int MARGIN_PART = 8;
    /** Of the first share of one that gives, what it gives at a time. */
    private static final int STEP_PART = 16;
    /** What stays, from tick to tick, of the most that was used: half after 35 of them. */
    private static final double PEAK_KEEP = 0.98;
    /** Ticks in a row in which a purpose was refused some before it is given more. */
    private static final int REFUSED_FOR = 2;
    /** Ticks without a refusal after which a step goes back. */
    private static final int CALM = 150;

    private static final class State {
        private final Share share;
        private int cap;
        private int used;
        private double peak;
        private boolean refused;
        private int refusedFor;
        private int calm;

        private State(Share share) {
            this.share = share;
            this.cap = share.first();
        }

        private int spare() {
            int keep = (int) Math.ceil(peak) + share.first() / MARGIN_PART;
            return cap - Math.max(share.least(), keep);
        }
    }

    private final Map<Purpose, State> states = new EnumMap<>(Purpose.class);

    /** Each purpose has its first share. */
    public Budget(Map<Purpose, Share> shares) {
        shares.forEach((purpose, share) -> states.put(purpose, new State(share)));
    }

    /** One purpose, which may always hold so many. */
    public static Budget fixed(Purpose purpose, int most) {
        return new Budget(Map.of(purpose, new Share(most, most)));
    }

    /** A purpose now holds so many. */
    public void used(Purpose purpose, int count) {
        State s = states.get(purpose);
        s.used = count;
        s.peak = Math.max(s.peak, count);
    }

    /** A purpose could not have one more, or had to close one for it. */
    public void refused(Purpose purpose) {
        states.get(purpose).refused = true;
    }

    /** How many a purpose may hold now: its share, less what others hold beyond theirs. */
    public int may(Purpose purpose) {
        int beyond = 0;
        for (Map.Entry<Purpose, State> s : states.entrySet()) {
            beyond += s.getKey() == purpose ? 0 : Math.max(0, s.getValue().used - s.getValue().cap);
        }
        return Math.max(1, states.get(purpose).cap - beyond);
    }

    /** The time between two ticks is over: shares may move. */
    public void tick() {
        for (State s : states.values()) {
            s.refusedFor = s.refused ? s.refusedFor + 1 : 0;
            s.calm = s.refused ? 0 : s.calm + 1;
        }
        for (State s : states.values()) {
            if (s.cap < s.share.first() && s.refused) {
                // What it has lent comes back at once: the lender has the first right to it.
                takeBack(s);
            } else if (s.refusedFor >= REFUSED_FOR) {
                borrow(s);
            } else if (s.cap > s.share.first() && s.calm >= CALM) {
                giveBack(s, s.share.first() / STEP_PART);
                s.calm = 0;
            }
        }
        for (State s : states.values()) {
            s.refused = false;
            s.peak = Math.max(s.used, s.peak * PEAK_KEEP);
        }
    }

    private void borrow(State s) {
        State lender = null;
        for (State o : states.values()) {
            boolean lends = o != s && o.refusedFor == 0 && o.spare() > 0;
            if (lends && (lender == null || o.spare() > lender.spare())) {
                lender = o;
            }
        }
        if (lender != null) {
            int step = Math.min(lender.spare(), Math.max(1, lender.share.first() / STEP_PART));
            lender.cap -= step;
            s.cap += step;
        }
    }

    private void takeBack(State s) {
        for (State o : states.values()) {
            int lent = Math.min(o.cap - o.share.first(), s.share.first() - s.cap);
            if (o != s && lent > 0) {
                o.cap -= lent;
                s.cap += lent;
            }
        }
    }

    private void giveBack(State s, int most) {
        for (State o : states.values()) {
            int step = Math.min(Math.max(1, most), Math.min(s.cap - s.share.first(), o.share.first() - o.cap));
            if (o != s && step > 0) {
                s.cap -= step;
                o.cap += step;
            }
        }
    }
}
