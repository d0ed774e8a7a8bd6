package whinlead.testbed.mesh.hardening;

import java.util.Arrays;

/** What schedules bring about. */
public enum Point {
    /** Machines cut off for some twenty seconds. */
    CUT(1, CutPlay::play),
    /** Operators' histories. */
    HISTORY(2, HistoryPlay::play),
    /** Losses one after the other, and members that come and go. */
    SEATS(3, (seed, bug, trace) -> SeatsPlay.play(seed, bug, trace, Core.SYNC)),
    /** Hundreds of changes past a member. */
    CATCH_UP(4, CatchUpPlay::play),
    /** Pairs of voters that can't reach each other while both reach the rest. */
    PAIR_CUT(6, PairCutPlay::play);

    /** Plays a schedule. */
    private interface Play {
        Outcome play(long seed, Bug bug, Trace trace);
    }

    private final int number;
    private final Play play;

    Point(int number, Play play) {
        this.number = number;
        this.play = play;
    }

    /** The number by which it is asked for. */
    public int number() {
        return number;
    }

    /**
     * The one of a number.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Point of(int number) {
        return Arrays.stream(values())
                .filter(p -> p.number == number)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no point has the number " + number));
    }

    /** Plays one schedule; the same seed plays the same. For any thread. */
    public Outcome play(long seed, Bug bug, Trace trace) {
        return play.play(seed, bug, trace);
    }

    /**
     * Plays one schedule of {@link #SEATS} at a distance of one's own.
     *
     * @param distance between a machine's return and the next loss, in milliseconds
     */
    public static Outcome playSeats(long seed, Bug bug, Trace trace, double distance) {
        return SeatsPlay.play(seed, bug, trace, distance);
    }
}
