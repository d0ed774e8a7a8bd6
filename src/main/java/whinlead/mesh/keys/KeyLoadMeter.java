package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures the load of each key at one endpoint as an exponentially decaying count of requests. Pure; one thread; times
 * in milliseconds.
 */
public final class KeyLoadMeter {
    /** Decay time: after it a request counts 1/e, about a third. */
    private static final double DECAY_MS = 2500;
    /** Counts are rescaled once the weight of a new request exceeds this. */
    private static final double MAX_WEIGHT = 1e6;
    /** A total load below this, in requests a second, is not reported. */
    private static final double MIN_PER_S = 0.2;

    private static final double MILLIS_PER_SECOND = 1000;

    private final float[] counts = new float[KeyRange.MAX_KEY + 1];
    private double weightBaseMs;
    private double startedAtMs;

    /** Creates a meter without requests. */
    public KeyLoadMeter(double nowMs) {
        this.weightBaseMs = nowMs;
        this.startedAtMs = nowMs;
    }

    /** Counts a request for this key. */
    public void count(double nowMs, int key) {
        counts[key] += (float) requestWeight(nowMs);
    }

    // The weight of a request that arrives now. It grows with time, which replaces shrinking all earlier counts.
    private double requestWeight(double nowMs) {
        double weight = Math.exp((nowMs - weightBaseMs) / DECAY_MS);
        if (weight > MAX_WEIGHT) {
            for (int key = 0; key < counts.length; key++) {
                counts[key] = (float) (counts[key] / weight);
            }
            weightBaseMs = nowMs;
            return 1;
        }
        return weight;
    }

    /** Resets the counts of keys that are no longer held. */
    public void reset(KeyRange range) {
        for (int key = range.firstKey(); key <= range.lastKey(); key++) {
            counts[key] = 0;
        }
    }

    /** Load of these keys in requests a second. */
    public double perSecond(double nowMs, KeyRange range) {
        double sum = 0;
        for (int key = range.firstKey(); key <= range.lastKey(); key++) {
            sum += counts[key];
        }
        return perSecond(nowMs, sum);
    }

    private double perSecond(double nowMs, double sum) {
        double effectiveMs = DECAY_MS * -Math.expm1(-Math.max(1, nowMs - startedAtMs) / DECAY_MS);
        return sum / requestWeight(nowMs) / effectiveMs * MILLIS_PER_SECOND;
    }

    /**
     * The load of these ranges, split into parts with about the same load each; a key with a high load becomes a part
     * of its own.
     *
     * @param parts approximate number of parts
     */
    public List<KeyLoad> loads(double nowMs, List<KeyRange> ranges, int parts) {
        double total = 0;
        for (KeyRange range : ranges) {
            total += perSecond(nowMs, range);
        }
        List<KeyLoad> loads = new ArrayList<>();
        if (total < MIN_PER_S) {
            return loads;
        }
        double perPart = total / parts;
        for (KeyRange range : ranges) {
            split(nowMs, range, perPart, loads);
        }
        return loads;
    }

    private void split(double nowMs, KeyRange range, double perPart, List<KeyLoad> loads) {
        int firstKey = range.firstKey();
        double sum = 0;
        for (int key = range.firstKey(); key <= range.lastKey(); key++) {
            double load = counts[key] > 0 ? perSecond(nowMs, counts[key]) : 0;
            if (sum > 0 && load > 0 && sum + load > perPart) {
                loads.add(new KeyLoad(new KeyRange(firstKey, key - 1), sum));
                firstKey = key;
                sum = 0;
            }
            sum += load;
        }
        loads.add(new KeyLoad(new KeyRange(firstKey, range.lastKey()), sum));
    }
}
