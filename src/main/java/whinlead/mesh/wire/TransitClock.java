package whinlead.mesh.wire;

/**
 * Measures how long the messages of one connection waited on their way: in the sender's buffers, in the network or in
 * the receiver's socket. Each message contains a time stamp of its sender's steady clock. The difference between the
 * receiver's steady clock and a stamp is a constant (the offset of the two clocks) plus the transit time; the smallest
 * difference seen is attributed to a message that did not wait, and any excess over it to waiting. Clocks need no
 * synchronization, and steps of the time of day have no effect.
 *
 * <p>The smallest difference is that of the last {@link #WINDOW_MS} to twice that time, so that clocks may drift, or
 * stop while a machine is suspended. The window counts only time in which messages arrive: after a silence of any
 * length the smallest difference is still known. The result is never too long. It is too short by the smallest transit
 * time, and for the first message of a connection by all of its waiting time.
 *
 * <p>One per connection, so that a restart of a process has no effect. Pure; one thread; times in milliseconds.
 */
public final class TransitClock {
    /** How long a smallest difference is used, at least. */
    static final double WINDOW_MS = 10_000;
    /** The most that a silence adds to the window's age; idle connections are pinged more often than this. */
    static final double MAX_SILENCE_MS = 2000;

    private static final double MICROS_PER_MILLI = 1000;

    private double minDifferenceMs = Double.POSITIVE_INFINITY;
    private double previousMinDifferenceMs = Double.POSITIVE_INFINITY;
    private double windowAgeMs;
    private double firstArrivalMs = Double.NaN;
    private double lastArrivalMs = Double.NaN;

    /**
     * Handles the arrival of a message, and returns how long it waited, at least.
     *
     * @param nowMs by the receiver's steady clock
     * @param sentAtMicros the message's stamp in microseconds; for a message without a stamp the result is 0
     */
    public double waitedMs(double nowMs, long sentAtMicros) {
        if (sentAtMicros == PeerMessage.UNSTAMPED) {
            return 0;
        }
        advanceWindow(nowMs);
        double differenceMs = nowMs - sentAtMicros / MICROS_PER_MILLI;
        minDifferenceMs = Math.min(minDifferenceMs, differenceMs);
        return differenceMs - Math.min(minDifferenceMs, previousMinDifferenceMs);
    }

    /**
     * Handles the arrival of a request, and returns its remaining time in whole milliseconds, rounded down; 0 if there
     * is none.
     *
     * @param sentRemainingMs remaining time when the request was sent
     */
    public int remainingMs(double nowMs, long sentAtMicros, int sentRemainingMs) {
        return (int) Math.max(0, Math.floor(sentRemainingMs - waitedMs(nowMs, sentAtMicros)));
    }

    /** When the first message with a stamp arrived, by the receiver's clock; NaN before that. */
    public double firstArrivalMs() {
        return firstArrivalMs;
    }

    private void advanceWindow(double nowMs) {
        if (Double.isNaN(lastArrivalMs)) {
            firstArrivalMs = nowMs;
        } else {
            windowAgeMs += Math.min(nowMs - lastArrivalMs, MAX_SILENCE_MS);
        }
        lastArrivalMs = nowMs;
        if (windowAgeMs >= WINDOW_MS) {
            previousMinDifferenceMs = minDifferenceMs;
            minDifferenceMs = Double.POSITIVE_INFINITY;
            windowAgeMs = 0;
        }
    }
}
