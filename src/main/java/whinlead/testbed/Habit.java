package whinlead.testbed;

import java.util.Random;

/** What a stand-in client does after a try that was refused or failed; every try is a request of its own. */
public enum Habit {
    /** Leaves it at that. */
    NONE,
    /** Asks again at once. */
    AT_ONCE,
    /** Asks again after a wait that doubles, spread over its upper half. */
    BACK_OFF,
    /** Asks again when it is told to, and at once where nothing is told. */
    RETRY_AFTER;

    /** Tries that a client makes beyond the first. */
    public static final int FURTHER_TRIES = 2;

    private static final double BACK_OFF_FIRST_MS = 100;

    /**
     * Milliseconds until the next try, or NaN for none.
     *
     * @param tries how many there have been
     * @param retryAfter what the last answer told, in milliseconds; 0 for nothing
     */
    public double wait(int tries, double retryAfter, Random dice) {
        if (this == NONE || tries > FURTHER_TRIES) {
            return Double.NaN;
        }
        return switch (this) {
            case BACK_OFF -> BACK_OFF_FIRST_MS * (1 << (tries - 1)) * (0.5 + 0.5 * dice.nextDouble());
            case RETRY_AFTER -> retryAfter;
            default -> 0;
        };
    }
}
