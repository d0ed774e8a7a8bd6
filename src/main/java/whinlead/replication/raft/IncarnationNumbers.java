package whinlead.replication.raft;

import java.util.Random;

/** The numbers of a member's lives: a count, which goes up under one name, and what the process drew. */
final class IncarnationNumbers {
    private static final int DRAWN_BITS = 32;

    private IncarnationNumbers() {}

    /** Draws what tells a process apart from all others; never 0. */
    static long draw(Random random) {
        long drawn;
        do {
            drawn = random.nextInt() & (1L << DRAWN_BITS) - 1;
        } while (drawn == 0);
        return drawn;
    }

    /** The first life under a name, of the process that drew this. */
    static long first(long drawn) {
        return of(1, drawn);
    }

    /** The life with this count, of the process that drew this. */
    static long of(long count, long drawn) {
        return count << DRAWN_BITS | drawn;
    }

    /** Which life under its name it is, from 1. */
    static long count(long life) {
        return life >>> DRAWN_BITS;
    }
}
