package whinlead.decide;

/** Moves each server's percentage, a step a period: up while too much is not accepted, else down to zero. */
final class Controller {
    // The share not accepted that is let be; chance alone gives this much near a sound load.
    private static final double TARGET = 0.2;
    // How far one bad period takes the percentage on towards 100; the whole of it from so much excess on.
    private static final double STEP_UP = 0.5;
    private static final double STEP_WHOLE_AT = 0.5;
    // What a good or an idle period takes off: this part of what passes, and a little for one wholly shut.
    private static final double STEP_DOWN = 0.08;
    private static final double MIN_STEP_DOWN = 0.004;
    // What stays of the evidence from period to period, so that 0 to 2 outcomes a period still add up.
    private static final double KEEP = 0.7;
    // Outcomes of the whole subset that stand in for a server's own: one bad answer is no trend.
    private static final double PRIOR = 2.0;
    // What the subset does not accept beyond this counts: single servers' troubles stay theirs.
    private static final double POOL_TARGET = 0.25;
    // What stays of the subset's evidence from one period to the next: about a second of outcomes.
    private static final double POOL_KEEP = 0.95;

    private final Lateness lateness;
    private final Evidence pool = new Evidence();

    Controller(Lateness lateness) {
        this.lateness = lateness;
    }

    void note(Node n, double badness) {
        n.evidence.note(badness, 1);
        pool.note(badness, 1);
    }

    void broke(Node n) {
        note(n, 1);
        n.evidence.broken++;
        pool.broken++;
    }

    void step(double now, Node n) {
        double bad = n.evidence.bad;
        double all = n.evidence.all;
        double lateOut = 0;
        int count = 0;
        Attempt a = n.out.mark.newer;
        for (int i = 0; i < Outstanding.LOOK && a != n.out.mark; i++, a = a.newer) {
            double late = lateness.of(now - a.sentAt, a.call.request.classIndex);
            if (late > 0 && !a.passed && !n.failing.mostly(a.call.request.classIndex)) {
                lateOut += late;
                count++;
            }
        }
        // A single request without an answer would count anew in each period: a second must bear it out.
        if (count > 1) {
            bad += lateOut;
            all += count;
        }
        double pooled = Math.max(0, pool.bad / (pool.all + PRIOR) - POOL_TARGET);
        double excess = (bad + PRIOR * pooled) / (all + PRIOR) - TARGET;
        if (excess > 0) {
            n.percentage += (1 - n.percentage) * STEP_UP * Math.min(1, excess / STEP_WHOLE_AT);
        } else {
            // Slower by as much as the answers take longer than usual.
            double fall = STEP_DOWN * lateness.pace;
            n.percentage = Math.max(0, n.percentage - fall * (1 - n.percentage) - MIN_STEP_DOWN);
        }
        n.evidence.fade(KEEP);
    }

    // From 1, where no late outcome of the server or the subset was bad, to 0.
    double soundness(Node n) {
        return Math.max(0, 1 - Math.max(n.evidence.share(), pool.share()) / TARGET);
    }

    boolean timely(Node n) {
        return n.evidence.share() < TARGET;
    }

    void period() {
        pool.fade(POOL_KEEP);
    }

    // Out of the subset no period is spent on a server; it falls on its return by as many as it was away.
    static void idle(Node n, double periods) {
        if (periods >= 1) {
            double most = MIN_STEP_DOWN / STEP_DOWN;
            double passing = (1 - n.percentage + most) * Math.pow(1 + STEP_DOWN, periods) - most;
            n.percentage = Math.max(0, 1 - passing);
            n.evidence = new Evidence();
        }
    }
}
