package whinlead.decide;

import java.util.Arrays;
import java.util.SplittableRandom;
import whinlead.Contract;

/** Lowest worth first: the levels of worth, their mix in the traffic, and each level's share of a drop. */
final class Worth {
    // What stays of the mix from period to period.
    private static final double MIX_KEEP = 0.98;

    private final Contract.Settings settings;
    private final SplittableRandom random;
    // Levels, lowest first: that of each class within and over its tenant's share.
    private final int[] within;
    private final int[] over;
    private final double[] mix;
    private final double[] below;
    private final double[] tenantSeen;
    private double seen;

    Worth(Contract.Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        int n = settings.classes().size();
        double[] worths = new double[2 * n];
        for (int i = 0; i < n; i++) {
            double worth = settings.classes().get(i).worth();
            worths[i] = worth;
            worths[n + i] = worth * settings.overShareWorth();
        }
        double[] levels = Arrays.stream(worths).sorted().distinct().toArray();
        this.within = new int[n];
        this.over = new int[n];
        for (int i = 0; i < n; i++) {
            within[i] = Arrays.binarySearch(levels, worths[i]);
            over[i] = Arrays.binarySearch(levels, worths[n + i]);
        }
        this.mix = new double[levels.length];
        this.below = new double[levels.length + 1];
        this.tenantSeen = new double[settings.tenants().size()];
    }

    // Counts a request and tells its level: the lower one for what is beyond its tenant's share, by chance.
    int arrived(Contract.Request r) {
        int level = within[r.classIndex];
        if (r.tenantIndex >= 0) {
            seen++;
            double fraction = ++tenantSeen[r.tenantIndex] / seen;
            double share = settings.tenants().get(r.tenantIndex).share();
            level = fraction > share && random.nextDouble() * fraction > share ? over[r.classIndex] : level;
        }
        mix[level]++;
        return level;
    }

    // The percentage split over the levels by the mix: the lowest takes it all before the next takes any.
    double dropShare(int level, double p) {
        if (p <= 0) {
            return 0;
        }
        double own = below[level + 1] - below[level];
        return own > 0 ? (p - below[level]) / own : p > below[level] ? 1 : 0;
    }

    // The share of the traffic that is worth less than the most.
    double lesser() {
        return below[below.length - 2];
    }

    void period() {
        double total = Arrays.stream(mix).sum();
        double sum = 0;
        for (int i = 0; i < mix.length; i++) {
            below[i] = total > 0 ? sum / total : 0;
            sum += mix[i];
            mix[i] *= MIX_KEEP;
        }
        below[mix.length] = 1;
        seen *= MIX_KEEP;
        Arrays.setAll(tenantSeen, i -> tenantSeen[i] * MIX_KEEP);
    }
}
