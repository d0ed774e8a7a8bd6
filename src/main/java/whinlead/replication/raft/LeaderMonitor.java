package whinlead.replication.raft;

import whinlead.engine.Timers;

/**
 * Guards against a fault of MicroRaft 0.7: a message of the leader's that comes in the midst of a pre-vote ends that,
 * and from then on the member monitors its leader no more; where all do so, a group whose leader dies has none ever
 * after. A follower whose leader is silent and that has not asked for votes either is told to, by the message that a
 * leader hands over with: that is safe at any time, as any election is. On the engine's thread.
 */
final class LeaderMonitor {
    private final ConsensusNode node;
    private final Timers timers;
    /** After so many milliseconds a silent leader is given up. */
    private final double timeoutMs;

    private double lastHeard;
    private double lastVoteRequest;

    /** Of the leader of a node's group. */
    LeaderMonitor(ConsensusNode node, Timers timers, double timeoutMs) {
        this.node = node;
        this.timers = timers;
        this.timeoutMs = timeoutMs;
    }

    /** The node starts. */
    void start() {
        lastHeard = timers.now();
        lastVoteRequest = lastHeard;
    }

    /** Something of the leader's has come. */
    void leaderHeard() {
        lastHeard = timers.now();
    }

    /** The node has asked for votes. */
    void votesRequested() {
        lastVoteRequest = timers.now();
    }

    /** Has votes asked for if the leader has been silent for too long. */
    void check() {
        node.report(report -> {
            MemberId leader = node.leader();
            if (leader != null && follows() && silentSince(timers.now() - timeoutMs)) {
                node.requestElection(leader, report);
            }
        });
    }

    /** Has votes asked for if this one leads and has been silent since then. */
    void suspect(String name, double since) {
        MemberId leader = node.leader();
        if (leader != null && leader.name().equals(name) && follows() && silentSince(since)) {
            node.report(report -> node.requestElection(leader, report));
        }
    }

    private boolean follows() {
        return !node.leads() && node.votes();
    }

    private boolean silentSince(double since) {
        return lastHeard <= since && lastVoteRequest <= since;
    }
}
