package whinlead.decide;

import java.util.List;
import whinlead.Contract;

/** What is late, by degrees: against the aim alone a queue is seen when it has cost the answers in it. */
final class Lateness {
    // An answer is late from the usual time of its class to this multiple of it.
    private static final double LATE_FULL = 5;
    // Weight of an answer in its class's recent time, and of a period's drift of the usual one upwards.
    private static final double RECENT = 0.05;
    private static final double DRIFT = 0.0003;
    // What the usual time is taken to be before any answer, as a share of the aim.
    private static final double FIRST_USUAL = 0.3;
    // What stays of the sums of times from period to period: about a second of outcomes.
    private static final double KEEP = 0.95;
    // No usual time counts as less than this share of the aim: nobody is served worse for it, and this
    // sidecar's own pauses are longer.
    private static final double FLOOR = 0.1;
    // The more is refused, beyond this share, for another reason than load, the faster the usual time rises
    // to the recent one, at most by this part a period, and up to this share of the aim.
    private static final double RAISE_FROM = 0.5;
    private static final double RAISE = 0.1;
    private static final double MAX_RAISED = 0.4;
    // What stays, from period to period, of how late this sidecar's own loop was.
    private static final double STALL_KEEP = 0.9;

    private final double[] aim;
    // Recent mean time of each class's answers, and the usual one: the lowest that the recent one has been.
    private final double[] recent;
    private final double[] usual;
    private double stall;
    private double usualSum = 1;
    private double tookSum = 1;
    // How fast answers come, against the usual: 1, or less.
    double pace = 1;

    Lateness(List<Contract.RequestClass> classes) {
        this.aim = classes.stream().mapToDouble(Contract.RequestClass::aim).toArray();
        this.recent = classes.stream().mapToDouble(c -> c.aim() * FIRST_USUAL).toArray();
        this.usual = recent.clone();
    }

    // How long an answer of this class usually takes, and no less than what can be told apart.
    double usual(int k) {
        return Math.max(usual[k], aim[k] * FLOOR + stall);
    }

    // From 0, as fast as usual, to 1.
    double of(double took, int k) {
        double from = usual(k);
        return Math.max(0, Math.min(1, (took - from) / (from * (LATE_FULL - 1))));
    }

    void answered(double took, int k) {
        usualSum += usual(k);
        tookSum += Math.max(took, usual(k));
        recent[k] += (took - recent[k]) * RECENT;
    }

    // At the start of a period: the share lately refused for another reason than load; how late this call is.
    void period(double refused, double late) {
        pace = usualSum / tookSum;
        stall = Math.max(late, stall * STALL_KEEP);
        double raise = RAISE * Math.max(0, (refused - RAISE_FROM) / (1 - RAISE_FROM));
        for (int i = 0; i < usual.length; i++) {
            usual[i] = recent[i] < usual[i] ? recent[i] : usual[i] + (recent[i] - usual[i]) * DRIFT;
            usual[i] += Math.max(0, Math.min(recent[i], aim[i] * MAX_RAISED) - usual[i]) * raise;
        }
        usualSum = 1 + (usualSum - 1) * KEEP;
        tookSum = 1 + (tookSum - 1) * KEEP;
    }
}
