package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The demand of one tenant and the faults of the processes that enforce its limit, in milliseconds from the start.
 * Drawn from a seed or fixed.
 *
 * @param limitPerS the tenant's limit
 * @param usualPerS its demand outside of surges
 * @param surges times of higher or lower demand
 * @param weights the fraction of its requests that starts at each sidecar; they add up to 1
 * @param cuts times at which sidecars and control nodes can't reach each other
 * @param restarts of processes
 * @param minDelayMs the shortest delay of a message
 * @param maxDelayMs the longest delay of a message
 * @param lossShare fraction of messages that are lost
 */
record QuotaScenario(
        long seed,
        int sidecars,
        int controlNodes,
        double limitPerS,
        double burst,
        double usualPerS,
        List<Surge> surges,
        double[] weights,
        List<Cut> cuts,
        List<Restart> restarts,
        int minDelayMs,
        int maxDelayMs,
        double lossShare,
        int durationMs) {
    static final double WINDOW_S = 5;
    static final double EXCESS = 0.1;
    static final double SLACK = 20;
    /** A tenant's limit as a multiple of its usual demand. */
    static final double LIMIT_TO_USUAL_RATIO = 1.6;

    /** For a time, the tenant's demand is its usual one times this factor. */
    record Surge(int fromMs, int toMs, double factor) {}

    /** For a time, this sidecar can't reach this control node; -1 stands for all of them. */
    record Cut(int sidecar, int controlNode, int fromMs, int toMs) {
        boolean separates(int aSidecar, int aControlNode, int ms) {
            return ms >= fromMs
                    && ms < toMs
                    && (sidecar < 0 || sidecar == aSidecar)
                    && (controlNode < 0 || controlNode == aControlNode);
        }
    }

    /** A process is down for a time and starts again, with or without its disk. */
    record Restart(boolean isControlNode, int index, int fromMs, int toMs, boolean keepsDisk) {}

    /** The most requests that the rule QUOTA allows in any window. */
    double maxPerWindow() {
        return (limitPerS * WINDOW_S + burst) * (1 + EXCESS) + SLACK;
    }

    boolean isReachable(int sidecar, int controlNode, int ms) {
        return cuts.stream().noneMatch(cut -> cut.separates(sidecar, controlNode, ms));
    }

    double demandPerS(int ms) {
        double factor = 1;
        for (Surge surge : surges) {
            if (ms >= surge.fromMs() && ms < surge.toMs()) {
                factor *= surge.factor();
            }
        }
        return usualPerS * factor;
    }

    /** Incident inc1: three of nine sidecars are cut off, then the tenant's demand rises to 7.5 times its usual one. */
    static QuotaScenario incidentInc1(long seed, boolean cut, boolean surge) {
        List<Cut> cuts = new ArrayList<>();
        for (int sidecar : cut ? new int[] {1, 6, 8} : new int[0]) {
            cuts.add(new Cut(sidecar, -1, 11_200, 16_700));
        }
        double[] weights = new double[9];
        java.util.Arrays.fill(weights, 1.0 / weights.length);
        return new QuotaScenario(
                seed,
                9,
                3,
                35,
                35,
                35 / LIMIT_TO_USUAL_RATIO,
                surge ? List.of(new Surge(13_000, 19_500, 7.5)) : List.of(),
                weights,
                cuts,
                List.of(),
                1,
                3,
                0,
                26_000);
    }

    /** A random scenario: sizes, demand, cuts, restarts and delays are drawn. */
    static QuotaScenario random(long seed) {
        Random random = new Random(seed);
        int sidecars = 2 + random.nextInt(random.nextInt(4) == 0 ? 70 : 14);
        int controlNodes = random.nextBoolean() ? 3 : 5;
        // In some scenarios the demand is always above the limit, so that every token counts.
        boolean saturated = random.nextInt(3) == 0;
        double[] limits = {1, 3, 8, 20, 35, 90, 130, 300};
        double limitPerS = limits[random.nextInt(limits.length)];
        int lengthMs = 30_000;
        List<Surge> surges = new ArrayList<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            int fromMs = random.nextInt(lengthMs);
            surges.add(new Surge(
                    fromMs,
                    fromMs + random.nextInt(8000),
                    random.nextInt(4) == 0 ? 0.05 : 1 + random.nextDouble() * 20));
        }
        return new QuotaScenario(
                seed,
                sidecars,
                controlNodes,
                limitPerS,
                random.nextInt(4) == 0 ? 0 : limitPerS,
                limitPerS / LIMIT_TO_USUAL_RATIO * (saturated ? 6 : 0.2 + random.nextDouble() * 1.5),
                surges,
                weights(random, sidecars),
                cuts(random, sidecars, controlNodes, lengthMs),
                restarts(random, sidecars, controlNodes, lengthMs),
                1,
                1 + random.nextInt(random.nextBoolean() ? 5 : 400),
                random.nextInt(3) == 0 ? random.nextDouble() * 0.2 : 0,
                lengthMs);
    }

    /**
     * A tenant whose demand is always above its limit, some sidecars cut off, and all control nodes restarted during
     * the cut: the sidecars cut off have leases that no control node's process knows.
     */
    static QuotaScenario randomRestartDuringCut(long seed, boolean keepsDisk) {
        Random random = new Random(seed);
        int sidecars = 6 + random.nextInt(8);
        int cutFromMs = 8000 + random.nextInt(1000);
        List<Cut> cuts = new ArrayList<>();
        for (int sidecar = 0; sidecar < sidecars / 2; sidecar++) {
            cuts.add(new Cut(sidecar, -1, cutFromMs, cutFromMs + 8000));
        }
        List<Restart> restarts = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            restarts.add(new Restart(true, index, cutFromMs + 100, cutFromMs + 600, keepsDisk));
        }
        double limitPerS = 20 + random.nextInt(100);
        return new QuotaScenario(
                seed,
                sidecars,
                3,
                limitPerS,
                limitPerS,
                limitPerS * 4,
                List.of(),
                weights(random, sidecars),
                cuts,
                restarts,
                1,
                3,
                0,
                20_000);
    }

    private static double[] weights(Random random, int sidecars) {
        double[] weights = new double[sidecars];
        double sum = 0;
        boolean even = random.nextBoolean();
        for (int i = 0; i < sidecars; i++) {
            weights[i] = even ? 1 : Math.pow(random.nextDouble(), 4) + 1e-3;
            sum += weights[i];
        }
        for (int i = 0; i < sidecars; i++) {
            weights[i] /= sum;
        }
        return weights;
    }

    private static List<Cut> cuts(Random random, int sidecars, int controlNodes, int lengthMs) {
        List<Cut> cuts = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            int fromMs = random.nextInt(lengthMs);
            int toMs = fromMs + random.nextInt(12_000);
            boolean cutsAllNodes = random.nextBoolean();
            int controlNode = cutsAllNodes ? -1 : random.nextInt(controlNodes);
            // A random subset of the sidecars is cut off at the same time.
            double share = random.nextDouble();
            for (int sidecar = 0; sidecar < sidecars; sidecar++) {
                if (random.nextDouble() < share) {
                    cuts.add(new Cut(sidecar, controlNode, fromMs, toMs));
                }
            }
        }
        return cuts;
    }

    private static List<Restart> restarts(Random random, int sidecars, int controlNodes, int lengthMs) {
        List<Restart> restarts = new ArrayList<>();
        for (int i = random.nextInt(5); i > 0; i--) {
            int fromMs = random.nextInt(lengthMs);
            int toMs = fromMs + 200 + random.nextInt(4000);
            boolean restartsAll = random.nextInt(4) == 0;
            boolean isControlNode = random.nextBoolean();
            boolean keepsDisk = random.nextInt(3) != 0;
            int count = isControlNode ? controlNodes : sidecars;
            int singleIndex = random.nextInt(count);
            for (int index = 0; index < count; index++) {
                if (restartsAll || index == singleIndex) {
                    restarts.add(new Restart(isControlNode, index, fromMs, toMs, keepsDisk));
                }
            }
        }
        return restarts;
    }
}
