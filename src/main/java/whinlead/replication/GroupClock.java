package whinlead.replication;

/**
 * One member's estimate of the group's time between commands: the last committed timestamp plus the time that has
 * passed on the member's own monotonic clock since it was received. A member that becomes leader takes its timestamps
 * from this clock, so the group's time continues where it was. Wall clocks, which may differ by any amount, are not
 * used.
 *
 * <p>Between any two timestamps, whichever leader gave them, no more group time passes than real time. For this the
 * last timestamp is used even if it is behind this member's own estimate: a leader that was away for a while continues
 * from the time at which it stopped, and a promise that it made for some duration must not expire sooner because
 * another member, which was away for less, gives the next timestamp. Not thread-safe.
 */
public final class GroupClock {
    private long lastStampMs;
    private double stampReceivedMs;

    /** A clock that has seen no command yet; {@code nowMs} by the monotonic clock. */
    public GroupClock(double nowMs) {
        stampReceivedMs = nowMs;
    }

    /** Records the timestamp of a committed command. */
    public void committed(long stampMs, double nowMs) {
        lastStampMs = stampMs;
        stampReceivedMs = nowMs;
    }

    /** The group's current time, in whole milliseconds. */
    public long time(double nowMs) {
        return lastStampMs + (long) Math.max(0, nowMs - stampReceivedMs);
    }
}
