package whinlead.mesh.wire;

/**
 * Tells how long the messages of one connection waited on their way: in the sender's buffers, in the network or in the
 * receiver's socket. Each message carries a stamp of its sender's steady clock. The difference between the receiver's
 * steady clock and a stamp is a constant (the distance between the two clocks) plus the time on the way; the least
 * difference that was seen is taken for a message that did not wait, and what exceeds it for waiting. No clocks are
 * synchronised, and steps of the time of day don't matter.
 *
 * <p>The least difference is that of the last {@link #WINDOW_MS} to twice as much, so that clocks may drift, or stand
 * still with a machine that is suspended. The window counts only time in which messages arrived: a silence of any
 * length leaves the least difference known. The result errs on one side only, towards too short a wait: by the least
 * time on the way, and for the first message of a connection by all that it waited.
 *
 * <p>One per connection, so that no process's restart matters. Pure; one thread; times in milliseconds.
 */
public final class TransitClock {
    /** How long a least difference is remembered, at least. */
    static final double WINDOW_MS = 10_000;
    /** What a silence adds to the window's age, at most; connections at rest are pinged more often. */
    static final double MAX_SILENCE_MS = 2000;

    private static final double MICROS = 1000;

    private double least = Double.POSITIVE_INFINITY;
    private double leastBefore = Double.POSITIVE_INFINITY;
    private double age;
    private double firstArrivalAt = Double.NaN;
    private double arrivedAt = Double.NaN;

    /**
     * A message arrives: how long it waited, at least.
     *
     * @param now by the receiver's steady clock
     * @param sentAt the message's stamp in microseconds; one without a stamp is not known to have waited
     */
    public double waited(double now, long sentAt) {
        if (sentAt == PeerMessage.UNSTAMPED) {
            return 0;
        }
        turnWindow(now);
        double difference = now - sentAt / MICROS;
        least = Math.min(least, difference);
        return difference - Math.min(least, leastBefore);
    }

    /**
     * A request arrives: what is left of its time, in whole milliseconds, rounded down; 0 if none is.
     *
     * @param leftMs what was left when it was written
     */
    public int left(double now, long sentAt, int leftMs) {
        return (int) Math.max(0, Math.floor(leftMs - waited(now, sentAt)));
    }

    /** When the first message with a stamp arrived, by the receiver's clock; NaN while none has. */
    public double firstArrivalAt() {
        return firstArrivalAt;
    }

    private void turnWindow(double now) {
        if (Double.isNaN(arrivedAt)) {
            firstArrivalAt = now;
        } else {
            age += Math.min(now - arrivedAt, MAX_SILENCE_MS);
        }
        arrivedAt = now;
        if (age >= WINDOW_MS) {
            leastBefore = least;
            least = Double.POSITIVE_INFINITY;
            age = 0;
        }
    }
}
