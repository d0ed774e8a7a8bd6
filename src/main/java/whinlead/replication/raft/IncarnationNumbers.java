package whinlead.replication.raft;

import java.util.Random;

/** The numbers of a member's incarnations: a count, which increases per name, and the process's random nonce. */
final class IncarnationNumbers {
    private static final int DRAWN_BITS = 32;

    private IncarnationNumbers() {}

    /** Draws the nonce that identifies a process; never 0. */
    static long draw(Random random) {
        long drawn;
        do {
            drawn = random.nextInt() & (1L << DRAWN_BITS) - 1;
        } while (drawn == 0);
        return drawn;
    }

    /** The first incarnation under a name, of the process with this nonce. */
    static long first(long drawn) {
        return number(1, drawn);
    }

    /** The incarnation with this count, of the process with this nonce. */
    static long number(long count, long drawn) {
        return count << DRAWN_BITS | drawn;
    }

    /** The count of an incarnation under its name, from 1. */
    static long count(long incarnation) {
        return incarnation >>> DRAWN_BITS;
    }
}
