package whinlead.decide;

import java.util.Arrays;
import java.util.SplittableRandom;
import whinlead.Contract;

/**
 * Drops the lowest worth first: the levels of worth, their mix in the traffic, and each level's part of a drop share.
 */
final class Worth {
    // Factor on the mix per period.
    private static final double MIX_DECAY = 0.98;

    private final Contract.Settings settings;
    private final SplittableRandom random;
    // Levels, lowest first: the level of each class within and over its tenant's share.
    private final int[] levelWithinShare;
    private final int[] levelOverShare;
    private final double[] mix;
    private final double[] shareBelow;
    private final double[] tenantRequests;
    private double requestsSeen;

    Worth(Contract.Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
        int classCount = settings.classes().size();
        double[] worths = new double[2 * classCount];
        for (int i = 0; i < classCount; i++) {
            double worth = settings.classes().get(i).worth();
            worths[i] = worth;
            worths[classCount + i] = worth * settings.overShareWorth();
        }
        double[] levels = Arrays.stream(worths).sorted().distinct().toArray();
        this.levelWithinShare = new int[classCount];
        this.levelOverShare = new int[classCount];
        for (int i = 0; i < classCount; i++) {
            levelWithinShare[i] = Arrays.binarySearch(levels, worths[i]);
            levelOverShare[i] = Arrays.binarySearch(levels, worths[classCount + i]);
        }
        this.mix = new double[levels.length];
        this.shareBelow = new double[levels.length + 1];
        this.tenantRequests = new double[settings.tenants().size()];
    }

    // Counts a request and returns its level: the lower one, chosen at random, for traffic beyond its tenant's share.
    int recordRequest(Contract.Request request) {
        int level = levelWithinShare[request.classIndex];
        if (request.tenantIndex >= 0) {
            requestsSeen++;
            double tenantFraction = ++tenantRequests[request.tenantIndex] / requestsSeen;
            double quotaShare = settings.tenants().get(request.tenantIndex).share();
            level = tenantFraction > quotaShare && random.nextDouble() * tenantFraction > quotaShare
                    ? levelOverShare[request.classIndex]
                    : level;
        }
        mix[level]++;
        return level;
    }

    // Splits a drop share over the levels by the mix: the lowest level is dropped fully before the next is dropped at
    // all.
    double dropShare(int level, double dropShare) {
        if (dropShare <= 0) {
            return 0;
        }
        double levelShare = shareBelow[level + 1] - shareBelow[level];
        return levelShare > 0 ? (dropShare - shareBelow[level]) / levelShare : dropShare > shareBelow[level] ? 1 : 0;
    }

    // The share of the traffic below the highest worth.
    double lowerWorthShare() {
        return shareBelow[shareBelow.length - 2];
    }

    void endPeriod() {
        double total = Arrays.stream(mix).sum();
        double sum = 0;
        for (int i = 0; i < mix.length; i++) {
            shareBelow[i] = total > 0 ? sum / total : 0;
            sum += mix[i];
            mix[i] *= MIX_DECAY;
        }
        shareBelow[mix.length] = 1;
        requestsSeen *= MIX_DECAY;
        Arrays.setAll(tenantRequests, i -> tenantRequests[i] * MIX_DECAY);
    }
}
