package whinlead.testbed.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Which faults a fleet meets, by a seed and nothing else: dealt as from a pack of cards, so that however few are
 * played, those that matter most are among them. Of any four at least one is a kill. For one thread.
 */
public final class FaultScript {
    /** What is done to a member. */
    public enum Kind {
        /** SIGKILL; it starts again with what its disk holds, where it has one. */
        KILL_KEEPING_DISK("killed, back with its disk"),
        /** SIGKILL, and its disk is emptied. */
        KILL_LOSING_ALL("killed with all it had"),
        /** SIGSTOP, and SIGCONT later. */
        STOP("stopped"),
        /** No message goes either way; connections break. */
        CUT("cut off"),
        /** Nothing reaches it. */
        STALL_TO("cut off one way, to it"),
        /** Nothing comes from it. */
        STALL_FROM("cut off one way, from it"),
        /** Its connections break and may be made again. */
        RESET("lines reset"),
        /** All it says and hears is late. */
        LATE("late by 300 ms");

        private static final List<Kind> LINKS = List.of(CUT, STALL_TO, STALL_FROM, RESET, LATE);

        private final String told;

        Kind(String told) {
            this.told = told;
        }

        /** True where its process is gone. */
        public boolean kills() {
            return this == KILL_KEEPING_DISK || this == KILL_LOSING_ALL;
        }

        /** In an operator's words. */
        public String told() {
            return told;
        }
    }

    /**
     * One fault.
     *
     * @param member of its group, from 0
     * @param lastsMs until it is mended; a killed one starts again then
     */
    public record Fault(Kind kind, int member, int lastsMs) {}

    /** In each pack: half kills, and not more than three others, or four could be dealt without one. */
    private static final int KILLS = 3;

    private static final int STOPS = 1;
    private static final int LINKS = 2;
    private static final int MIN_KILL_MS = 100;
    private static final int KILL_SPREAD_MS = 2000;
    private static final int STOP_SPREAD_MS = 5000;
    private static final int LINK_SPREAD_MS = 4000;
    private static final int MIN_MS = 300;

    private final Random dice;
    private final int members;
    private final boolean disks;
    private final Deque<Kind> pack = new ArrayDeque<>();

    /**
     * A script.
     *
     * @param members of each group
     * @param disks whether a killed member may come back with its disk; each second one does
     */
    public FaultScript(long seed, int members, boolean disks) {
        dice = new Random(seed);
        this.members = members;
        this.disks = disks;
    }

    /** The next fault. */
    public Fault next() {
        if (pack.isEmpty()) {
            shuffle();
        }
        Kind kind = pack.pop();
        int lasts = kind.kills()
                ? MIN_KILL_MS + dice.nextInt(KILL_SPREAD_MS)
                : MIN_MS + dice.nextInt(kind == Kind.STOP ? STOP_SPREAD_MS : LINK_SPREAD_MS);
        return new Fault(kind, dice.nextInt(members), lasts);
    }

    private void shuffle() {
        List<Kind> cards = new ArrayList<>();
        for (int i = 0; i < KILLS; i++) {
            cards.add(disks && dice.nextBoolean() ? Kind.KILL_KEEPING_DISK : Kind.KILL_LOSING_ALL);
        }
        cards.addAll(Collections.nCopies(STOPS, Kind.STOP));
        for (int i = 0; i < LINKS; i++) {
            cards.add(Kind.LINKS.get(dice.nextInt(Kind.LINKS.size())));
        }
        Collections.shuffle(cards, dice);
        pack.addAll(cards);
    }
}
