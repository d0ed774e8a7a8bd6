package whinlead.decide;

import whinlead.Contract;

/** A server as this sidecar knows it: its list entry and the state that each rule keeps for it. */
final class Node {
    // Weight of a period in the send rate and in the rate of answered work.
    private static final double SEND_WEIGHT = 0.1;
    private static final double USUAL_WEIGHT = 0.2;

    final long rank;
    final Outstanding outstanding = new Outstanding();
    Evidence evidence = new Evidence();
    Failing failing = new Failing();
    final Reported reported = new Reported();
    Unreachable reachability = new Unreachable();
    ColdBudget.Bucket bucket = new ColdBudget.Bucket();
    Contract.Server entry;
    // Requests sent per ms; our usual number in flight there, from its answer rate and the usual answer times.
    double sendRate;
    double usualInFlight;
    // In this period: sends, and the sum of the usual times of the answers in ms.
    double sendsInPeriod;
    double answeredWorkMs;
    // Periods in the subset; the drop share from 0 to 1.
    int periods;
    double dropShare;
    // Start time of its process. A list entry with an earlier start comes from an older list.
    double startedAtMs;
    boolean usable;
    boolean listed;
    // Size relative to the largest server of the subset; when it last left the subset.
    double relativeSize = 1;
    double leftSubsetAtMs;

    Node(long rank, double startedAtMs) {
        this.rank = rank;
        this.startedAtMs = startedAtMs;
    }

    void endPeriod(double periodMs) {
        sendRate += (sendsInPeriod / periodMs - sendRate) * SEND_WEIGHT;
        sendsInPeriod = 0;
        periods++;
        usualInFlight += (answeredWorkMs / periodMs - usualInFlight) * USUAL_WEIGHT;
        answeredWorkMs = 0;
    }

    // A restarted process starts without history; the cold-start ramp protects it.
    void reset(double newStartMs) {
        dropShare = 0;
        evidence = new Evidence();
        failing = new Failing();
        reported.capacity = 0;
        reachability = new Unreachable();
        bucket = new ColdBudget.Bucket();
        startedAtMs = newStartMs;
    }
}
