package whinlead.testbed.mesh.hardening;

import java.util.Arrays;

/** The kinds of schedules. */
public enum Scenario {
    /** Machines isolated for about 20 s. */
    CUT(1, CutPlay::play),
    /** Histories of concurrent operators. */
    HISTORY(2, HistoryPlay::play),
    /** Successive losses, and members that join and leave. */
    SEATS(3, (seed, bug, trace) -> SeatsPlay.play(seed, bug, trace, Core.SYNC_MS)),
    /** A member that missed hundreds of changes. */
    CATCH_UP(4, CatchUpPlay::play),
    /** Pairs of voters that can't reach each other while both reach the others. */
    PAIR_CUT(6, PairCutPlay::play);

    /** Plays a schedule. */
    private interface Play {
        Outcome play(long seed, Bug bug, Trace trace);
    }

    private final int number;
    private final Play play;

    Scenario(int number, Play play) {
        this.number = number;
        this.play = play;
    }

    /** The number that selects it. */
    public int number() {
        return number;
    }

    /**
     * Returns the constant with a number.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Scenario forNumber(int number) {
        return Arrays.stream(values())
                .filter(p -> p.number == number)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no point has the number " + number));
    }

    /** Plays one schedule; deterministic for a seed. Thread-safe. */
    public Outcome play(long seed, Bug bug, Trace trace) {
        return play.play(seed, bug, trace);
    }

    /**
     * Plays one schedule of {@link #SEATS} with a given distance.
     *
     * @param distance minimum time between a machine's return and the next loss, in milliseconds
     */
    public static Outcome playSeats(long seed, Bug bug, Trace trace, double distance) {
        return SeatsPlay.play(seed, bug, trace, distance);
    }
}
