package whinlead.replication;

/**
 * The group's time between its commands, as one member holds it: the last stamp, and what has passed by the member's
 * own monotonic clock since that came. A member that comes to lead stamps by it, so the group's time goes on where it
 * was; wall clocks, which may be apart by any amount, play no part.
 *
 * <p>Between any two stamps, whoever gave them, no more time passes than really did. That is why the last stamp counts
 * even where it is behind what this member thought: one that led for a while after it had been away counts from where
 * it was, and what it promised for a time must not be over sooner because another, who lost less, stamps after it. For
 * one thread.
 */
public final class GroupClock {
    private long stamp;
    private double at;

    /** One that knows of no command yet; {@code now} in milliseconds by the monotonic clock. */
    public GroupClock(double now) {
        at = now;
    }

    /** A command with this stamp has come to be agreed on. */
    public void agreed(long newStamp, double now) {
        stamp = newStamp;
        at = now;
    }

    /** The group's time now, in whole milliseconds. */
    public long time(double now) {
        return stamp + (long) Math.max(0, now - at);
    }
}
