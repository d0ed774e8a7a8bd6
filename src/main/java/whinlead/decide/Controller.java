package whinlead.decide;

/** Adjusts each server's drop share once a period: up while too many outcomes are bad, else down towards zero. */
final class Controller {
    // Tolerated share of bad outcomes; random variation alone gives this much close to full load.
    private static final double TOLERATED_SHARE = 0.2;
    // How far one bad period moves the drop share towards 1; a full step from FULL_STEP_EXCESS on.
    private static final double STEP_UP = 0.5;
    private static final double FULL_STEP_EXCESS = 0.5;
    // Decrease in a good or idle period: this part of what passes, plus a minimum for a server that is fully dropped.
    private static final double STEP_DOWN = 0.08;
    private static final double MIN_STEP_DOWN = 0.004;
    // Factor on the evidence from period to period, so that 0 to 2 outcomes a period still add up.
    private static final double EVIDENCE_DECAY = 0.7;
    // Weight of the whole subset's outcomes in the estimate for one server: a single bad answer is no trend.
    private static final double PRIOR_WEIGHT = 2.0;
    // The subset's share of bad outcomes counts only beyond this, so that troubles of single servers affect just
    // these.
    private static final double POOL_TOLERATED_SHARE = 0.25;
    // Factor on the subset's evidence from period to period: about one second of outcomes.
    private static final double POOL_DECAY = 0.95;

    private final Lateness lateness;
    private final Evidence pool = new Evidence();

    Controller(Lateness lateness) {
        this.lateness = lateness;
    }

    void record(Node node, double badness) {
        node.evidence.record(badness, 1);
        pool.record(badness, 1);
    }

    void recordReset(Node node) {
        record(node, 1);
        node.evidence.resets++;
        pool.resets++;
    }

    void updateDropShare(double nowMs, Node node) {
        double bad = node.evidence.bad;
        double total = node.evidence.total;
        double latenessSum = 0;
        int lateCount = 0;
        Attempt attempt = node.outstanding.sentinel.newer;
        for (int i = 0;
                i < Outstanding.MAX_SCAN && attempt != node.outstanding.sentinel;
                i++, attempt = attempt.newer) {
            double degree = lateness.degree(nowMs - attempt.sentAtMs, attempt.call.request.classIndex);
            if (degree > 0 && !attempt.laterServed && !node.failing.failsMostly(attempt.call.request.classIndex)) {
                latenessSum += degree;
                lateCount++;
            }
        }
        // A single unanswered request would count again in each period, so at least two must be late.
        if (lateCount > 1) {
            bad += latenessSum;
            total += lateCount;
        }
        double poolExcess = Math.max(0, pool.bad / (pool.total + PRIOR_WEIGHT) - POOL_TOLERATED_SHARE);
        double excess = (bad + PRIOR_WEIGHT * poolExcess) / (total + PRIOR_WEIGHT) - TOLERATED_SHARE;
        if (excess > 0) {
            node.dropShare += (1 - node.dropShare) * STEP_UP * Math.min(1, excess / FULL_STEP_EXCESS);
        } else {
            // The more answers exceed their usual time, the slower the decrease.
            double stepDown = STEP_DOWN * lateness.pace;
            node.dropShare = Math.max(0, node.dropShare - stepDown * (1 - node.dropShare) - MIN_STEP_DOWN);
        }
        node.evidence.decay(EVIDENCE_DECAY);
    }

    // From 1, where no recent outcome of the server or the subset was bad, to 0.
    double health(Node node) {
        return Math.max(0, 1 - Math.max(node.evidence.badShare(), pool.badShare()) / TOLERATED_SHARE);
    }

    boolean answersInTime(Node node) {
        return node.evidence.badShare() < TOLERATED_SHARE;
    }

    void endPeriod() {
        pool.decay(POOL_DECAY);
    }

    // Servers outside the subset are not updated each period; on return the drop share falls by the periods missed.
    static void recoverWhileUnused(Node node, double periods) {
        if (periods >= 1) {
            double stepRatio = MIN_STEP_DOWN / STEP_DOWN;
            double passingShare = (1 - node.dropShare + stepRatio) * Math.pow(1 + STEP_DOWN, periods) - stepRatio;
            node.dropShare = Math.max(0, 1 - passingShare);
            node.evidence = new Evidence();
        }
    }
}
