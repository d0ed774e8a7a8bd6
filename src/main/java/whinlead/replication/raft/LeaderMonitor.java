package whinlead.replication.raft;

import whinlead.engine.Timers;

/**
 * Works around a fault of MicroRaft 0.7: a leader's message that arrives during a pre-vote ends the pre-vote, and from
 * then on the member no longer monitors its leader. If this happens on all members, a group whose leader dies never
 * elects another. A follower whose leader is silent, and which has not requested votes itself, is therefore made to
 * start an election by the message for leadership transfer; this is safe at any time, as any election is. On the
 * engine's thread.
 */
final class LeaderMonitor {
    private final ConsensusNode node;
    private final Timers timers;
    /** After this time without messages a leader counts as lost. */
    private final double timeoutMs;

    private double lastLeaderMessageMs;
    private double lastVoteRequestMs;

    /** Monitors the leader of a node's group. */
    LeaderMonitor(ConsensusNode node, Timers timers, double timeoutMs) {
        this.node = node;
        this.timers = timers;
        this.timeoutMs = timeoutMs;
    }

    /** Starts monitoring; called when the node starts. */
    void start() {
        lastLeaderMessageMs = timers.nowMs();
        lastVoteRequestMs = lastLeaderMessageMs;
    }

    /** A message of the leader has arrived. */
    void leaderMessageReceived() {
        lastLeaderMessageMs = timers.nowMs();
    }

    /** The node has requested votes. */
    void votesRequested() {
        lastVoteRequestMs = timers.nowMs();
    }

    /** Starts an election if the leader has been silent for too long. */
    void check() {
        node.report(report -> {
            MemberId leader = node.leader();
            if (leader != null && follows() && silentSince(timers.nowMs() - timeoutMs)) {
                node.requestElection(leader, report);
            }
        });
    }

    /** Starts an election if the member with this name leads and has been silent since then. */
    void suspect(String name, double sinceMs) {
        MemberId leader = node.leader();
        if (leader != null && leader.name().equals(name) && follows() && silentSince(sinceMs)) {
            node.report(report -> node.requestElection(leader, report));
        }
    }

    private boolean follows() {
        return !node.leads() && node.votes();
    }

    private boolean silentSince(double sinceMs) {
        return lastLeaderMessageMs <= sinceMs && lastVoteRequestMs <= sinceMs;
    }
}
