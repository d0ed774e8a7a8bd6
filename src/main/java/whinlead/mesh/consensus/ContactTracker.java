package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which voters this control node can reach. Contact counts from when the answered ping was sent, because a
 * packet that was delayed for long proves nothing about the present, and one-way messages from a node that receives
 * nothing do not count. Silence excludes the time in which this control node itself was suspended; contact does not.
 * Pure; one thread; times in milliseconds on this control node's own steady clock.
 */
final class ContactTracker {
    /** A gap between two events of this control node above which it counts as suspended, in milliseconds. */
    private static final double SUSPENSION_THRESHOLD_MS = 400;

    /** The time from which each voter's silence counts. */
    private final Map<String, Double> silentSinceMs = new HashMap<>();

    private final Map<String, Double> contactAtMs = new HashMap<>();
    private final Map<String, Long> storedSlots = new HashMap<>();
    private double lastRunningMs = Double.NaN;

    /** This control node is running: a time in which it was suspended counts as no voter's silence. */
    void noteRunning(double nowMs) {
        double gapMs = nowMs - lastRunningMs;
        // On the first call the gap is NaN and the comparison is false.
        if (gapMs > SUSPENSION_THRESHOLD_MS) {
            silentSinceMs.replaceAll((voter, sinceMs) -> sinceMs + gapMs);
        }
        lastRunningMs = nowMs;
    }

    /** A voter answered a ping sent at {@code sentAtMs}, and has this slot on disk. */
    void replyReceived(double sentAtMs, String from, long slot) {
        contactAtMs.merge(from, sentAtMs, Math::max);
        silentSinceMs.merge(from, sentAtMs, Math::max);
        storedSlots.merge(from, slot, Math::max);
    }

    /** Replaces the set of tracked voters; the silence of new ones starts now. */
    void retain(double nowMs, Collection<String> voters) {
        Set<String> retained = new HashSet<>(voters);
        silentSinceMs.keySet().retainAll(retained);
        contactAtMs.keySet().retainAll(retained);
        storedSlots.keySet().retainAll(retained);
        voters.forEach(voter -> silentSinceMs.putIfAbsent(voter, nowMs));
    }

    /** How long a voter has answered nothing while this control node was running; 0 for a voter that is not tracked. */
    double silenceMs(double nowMs, String voter) {
        return nowMs - silentSinceMs.getOrDefault(voter, nowMs);
    }

    /** Whether a voter has answered a ping sent less than {@code withinMs} ago. */
    boolean hasContact(double nowMs, double withinMs, String voter) {
        return nowMs - contactAtMs.getOrDefault(voter, Double.NEGATIVE_INFINITY) < withinMs;
    }

    /** The newest slot that a voter reported to have on disk; -1 if it reported none. */
    long storedSlot(String voter) {
        return storedSlots.getOrDefault(voter, -1L);
    }
}
