package whinlead.mesh.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One control node's attempt to get a value agreed on in one slot. Pure. */
final class Proposer {
    /** The state of the attempt. */
    enum State {
        PREPARING,
        PROPOSING,
        WON,
        PREEMPTED,
        NOTHING_TO_PROPOSE
    }

    private final Decision base;
    private final Ballot ballot;
    private final Decision proposal;
    private final Set<String> promised = new HashSet<>();
    private final Set<String> voted = new HashSet<>();
    private Message.Vote highestVote;
    private Ballot preemptedBy = Ballot.NONE;
    private State state = State.PREPARING;

    /**
     * Starts an attempt.
     *
     * @param base the previous decision
     * @param proposal the value to propose, or null to only complete what another control node began
     */
    Proposer(Decision base, Ballot ballot, Decision proposal) {
        this.base = base;
        this.ballot = ballot;
        this.proposal = proposal;
    }

    State state() {
        return state;
    }

    Ballot ballot() {
        return ballot;
    }

    /** The higher ballot that preempted this one. */
    Ballot preemptedBy() {
        return preemptedBy;
    }

    long slot() {
        return base.slot() + 1;
    }

    /** The voters that are asked. */
    List<String> voters() {
        return base.voters();
    }

    /** The value to propose: a vote reported with a promise may already be part of a quorum and takes precedence. */
    Decision value() {
        return highestVote == null ? proposal : highestVote.value();
    }

    /** The request that a voter has not answered yet; null if there is none. */
    Message pendingRequest(String voter) {
        return switch (state) {
            case PREPARING -> promised.contains(voter) ? null : new Message.Prepare(slot(), ballot);
            case PROPOSING -> voted.contains(voter) ? null : new Message.Accept(ballot, value());
            default -> null;
        };
    }

    /** A promise arrived. */
    void promiseReceived(String from, Message.Promise promise) {
        if (state != State.PREPARING
                || !promise.ballot().equals(ballot)
                || !base.voters().contains(from)) {
            return;
        }
        promised.add(from);
        if (promise.vote() != null
                && (highestVote == null || promise.vote().ballot().compareTo(highestVote.ballot()) > 0)) {
            highestVote = promise.vote();
        }
        if (promised.size() >= base.quorum()) {
            enter(value() == null ? State.NOTHING_TO_PROPOSE : State.PROPOSING);
        }
    }

    /** A vote arrived. */
    void voteReceived(String from, Message.Accepted vote) {
        if (state != State.PROPOSING
                || !vote.ballot().equals(ballot)
                || !base.voters().contains(from)) {
            return;
        }
        voted.add(from);
        if (voted.size() >= base.quorum()) {
            enter(State.WON);
        }
    }

    /** A voter has promised a higher ballot. */
    void preempt(Message.Nack nack) {
        if (nack.ballot().equals(ballot) && (state == State.PREPARING || state == State.PROPOSING)) {
            preemptedBy = nack.promised();
            enter(State.PREEMPTED);
        }
    }

    private void enter(State next) {
        state = next;
    }
}
