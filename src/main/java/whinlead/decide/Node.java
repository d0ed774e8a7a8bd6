package whinlead.decide;

import whinlead.Contract;

/** A server as this sidecar knows it: what the list says, and the state that each rule keeps of it. */
final class Node {
    // Weight of a period in the rates of sends and of work answered.
    private static final double SEND_WEIGHT = 0.1;
    private static final double WELL_WEIGHT = 0.2;

    final long rank;
    final Outstanding out = new Outstanding();
    Evidence evidence = new Evidence();
    Failing failing = new Failing();
    final Reported reported = new Reported();
    Unreachable reach = new Unreachable();
    ColdBudget.Bucket bucket = new ColdBudget.Bucket();
    Contract.Server entry;
    // What goes to it; what it holds of ours at the rate that it answers, when as fast as usual.
    double sendRate;
    double wellHeld;
    // Of this period: sends, and the usual times of the answers.
    double sends;
    double answered;
    // Periods in the subset; the drop percentage, as a share.
    int periods;
    double percentage;
    // The start of its process: an entry that goes back in it is of an older list.
    double startedAt;
    boolean usable;
    boolean listed;
    // Its size against the largest of the subset, and when it last left that.
    double weight = 1;
    double leftAt;

    Node(long rank, double startedAt) {
        this.rank = rank;
        this.startedAt = startedAt;
    }

    void period(double span) {
        sendRate += (sends / span - sendRate) * SEND_WEIGHT;
        sends = 0;
        periods++;
        wellHeld += (answered / span - wellHeld) * WELL_WEIGHT;
        answered = 0;
    }

    // A restarted process owes nothing to the past of the one before; the cold ramp guards it.
    void restarted(double at) {
        percentage = 0;
        evidence = new Evidence();
        failing = new Failing();
        reported.capacity = 0;
        reach = new Unreachable();
        bucket = new ColdBudget.Bucket();
        startedAt = at;
    }
}
