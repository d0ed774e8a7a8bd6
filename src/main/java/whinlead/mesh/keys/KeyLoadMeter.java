package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;

/**
 * How many requests come for which keys at one endpoint, with older requests counting less. Pure; one thread; times in
 * milliseconds.
 */
public final class KeyLoadMeter {
    /** After so long a request counts a third. */
    private static final double DECAY_MS = 2500;
    /** Counts are scaled once their unit has grown so much. */
    private static final double MAX_UNIT = 1e6;
    /** Less than this, in requests a second, is no load worth telling. */
    private static final double MIN_PER_S = 0.2;

    private static final double MILLIS_IN_SECOND = 1000;

    private final float[] counts = new float[KeyRange.MAX_KEY + 1];
    private double unitAt;
    private double startedAt;

    /** Nothing has come. */
    public KeyLoadMeter(double now) {
        this.unitAt = now;
        this.startedAt = now;
    }

    /** A request of this key came. */
    public void count(double now, int key) {
        counts[key] += (float) unit(now);
    }

    // What a request of now weighs: it grows, in place of all others shrinking.
    private double unit(double now) {
        double unit = Math.exp((now - unitAt) / DECAY_MS);
        if (unit > MAX_UNIT) {
            for (int key = 0; key < counts.length; key++) {
                counts[key] = (float) (counts[key] / unit);
            }
            unitAt = now;
            return 1;
        }
        return unit;
    }

    /** These keys are not held any more. */
    public void forget(KeyRange range) {
        for (int key = range.from(); key <= range.to(); key++) {
            counts[key] = 0;
        }
    }

    /** Requests a second of these keys. */
    public double perSecond(double now, KeyRange range) {
        double sum = 0;
        for (int key = range.from(); key <= range.to(); key++) {
            sum += counts[key];
        }
        return perSecond(now, sum);
    }

    private double perSecond(double now, double sum) {
        double counted = DECAY_MS * -Math.expm1(-Math.max(1, now - startedAt) / DECAY_MS);
        return sum / unit(now) / counted * MILLIS_IN_SECOND;
    }

    /**
     * The load of these ranges, cut into parts with about the same load each; a key with much load is a part of its
     * own.
     *
     * @param parts about so many in all
     */
    public List<KeyLoad> loads(double now, List<KeyRange> ranges, int parts) {
        double total = 0;
        for (KeyRange range : ranges) {
            total += perSecond(now, range);
        }
        List<KeyLoad> loads = new ArrayList<>();
        if (total < MIN_PER_S) {
            return loads;
        }
        double part = total / parts;
        for (KeyRange range : ranges) {
            cut(now, range, part, loads);
        }
        return loads;
    }

    private void cut(double now, KeyRange range, double part, List<KeyLoad> loads) {
        int from = range.from();
        double sum = 0;
        for (int key = range.from(); key <= range.to(); key++) {
            double load = counts[key] > 0 ? perSecond(now, counts[key]) : 0;
            if (sum > 0 && load > 0 && sum + load > part) {
                loads.add(new KeyLoad(new KeyRange(from, key - 1), sum));
                from = key;
                sum = 0;
            }
            sum += load;
        }
        loads.add(new KeyLoad(new KeyRange(from, range.to()), sum));
    }
}
