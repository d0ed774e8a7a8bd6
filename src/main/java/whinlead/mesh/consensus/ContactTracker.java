package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whom a control node reaches: a voter counts as of when a question left that it has answered, for a packet that was
 * held back for long proves nothing of now, and what one says that hears nobody is worth nothing. Silence leaves out
 * the time in which this control node itself stood still; contact does not. Pure; one thread; times in milliseconds on
 * this control node's own steady clock.
 */
final class ContactTracker {
    /** A pause between two signs of this control node's own life from which on it slept, in milliseconds. */
    private static final double SLEPT = 400;

    /** As of when each voter is not silent. */
    private final Map<String, Double> heard = new HashMap<>();

    private final Map<String, Double> echoed = new HashMap<>();
    private final Map<String, Long> stored = new HashMap<>();
    private double awake = Double.NaN;

    /** This control node runs: what it slept through is nobody's silence. */
    void running(double now) {
        double gap = now - awake;
        // Before the first time nothing was missed: that comparison is false.
        if (gap > SLEPT) {
            heard.replaceAll((voter, at) -> at + gap);
        }
        awake = now;
    }

    /** A voter answered what left at {@code sentAt}, and has this slot on disk. */
    void answered(double sentAt, String from, long slot) {
        echoed.merge(from, sentAt, Math::max);
        heard.merge(from, sentAt, Math::max);
        stored.merge(from, slot, Math::max);
    }

    /** Only these matter from now on; one that is new among them counts as heard now. */
    void retain(double now, Collection<String> voters) {
        Set<String> those = new HashSet<>(voters);
        heard.keySet().retainAll(those);
        echoed.keySet().retainAll(those);
        stored.keySet().retainAll(those);
        voters.forEach(e -> heard.putIfAbsent(e, now));
    }

    /** For how long it has answered nothing while this control node was awake; 0 for one never asked. */
    double silence(double now, String voter) {
        return now - heard.getOrDefault(voter, now);
    }

    /** Whether it has answered a question that left within so many milliseconds. */
    boolean reached(double now, double within, String voter) {
        return now - echoed.getOrDefault(voter, Double.NEGATIVE_INFINITY) < within;
    }

    /** The newest slot that it said to have on disk; -1 where it has said nothing. */
    long storedSlot(String voter) {
        return stored.getOrDefault(voter, -1L);
    }
}
