package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whom an office reaches: an elector counts as of when a question left that it has answered, for a packet
 * that was held back for long proves nothing of now, and what one says that hears nobody is worth nothing.
 * Silence leaves out the time in which this office itself stood still; contact does not. Pure; one thread;
 * times in milliseconds on this office's own steady clock.
 */
final class ContactTracker {
    /** A pause between two signs of this office's own life from which on it slept, in milliseconds. */
    private static final double SLEPT = 400;

    /** As of when each elector is not silent. */
    private final Map<String, Double> heard = new HashMap<>();
    private final Map<String, Double> echoed = new HashMap<>();
    private final Map<String, Long> stored = new HashMap<>();
    private double awake = Double.NaN;

    /** This office runs: what it slept through is nobody's silence. */
    void wake(double now) {
        double gap = now - awake;
        // Before the first time nothing was missed: that comparison is false.
        if (gap > SLEPT) {
            heard.replaceAll((elector, at) -> at + gap);
        }
        awake = now;
    }

    /** An elector answered what left at {@code sentAt}, and has this slot on disk. */
    void echoed(double sentAt, String from, long slot) {
        echoed.merge(from, sentAt, Math::max);
        heard.merge(from, sentAt, Math::max);
        stored.merge(from, slot, Math::max);
    }

    /** Only these matter from now on; one that is new among them counts as heard now. */
    void keep(double now, Collection<String> electors) {
        Set<String> those = new HashSet<>(electors);
        heard.keySet().retainAll(those);
        echoed.keySet().retainAll(those);
        stored.keySet().retainAll(those);
        electors.forEach(e -> heard.putIfAbsent(e, now));
    }

    /** For how long it has answered nothing while this office was awake; 0 for one never asked. */
    double silence(double now, String elector) {
        return now - heard.getOrDefault(elector, now);
    }

    /** Whether it has answered a question that left within so many milliseconds. */
    boolean reached(double now, double within, String elector) {
        return now - echoed.getOrDefault(elector, Double.NEGATIVE_INFINITY) < within;
    }

    /** The newest slot that it said to have on disk; -1 where it has said nothing. */
    long stored(String elector) {
        return stored.getOrDefault(elector, -1L);
    }
}
