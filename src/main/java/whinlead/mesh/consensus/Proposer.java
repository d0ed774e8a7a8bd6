package whinlead.mesh.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One control node's attempt to have a value agreed on in one slot. Pure. */
final class Proposer {
    /** Where it stands. */
    enum State {
        PREPARING,
        PROPOSING,
        WON,
        NACKED,
        IDLE
    }

    private final Decision base;
    private final Ballot ballot;
    private final Decision wanted;
    private final Set<String> promised = new HashSet<>();
    private final Set<String> voted = new HashSet<>();
    private Message.Vote highest;
    private Ballot higher = Ballot.NONE;
    private State state = State.PREPARING;

    /**
     * An attempt.
     *
     * @param base the decision before
     * @param wanted the value to have agreed on, or null to only finish what another began
     */
    Proposer(Decision base, Ballot ballot, Decision wanted) {
        this.base = base;
        this.ballot = ballot;
        this.wanted = wanted;
    }

    State state() {
        return state;
    }

    Ballot ballot() {
        return ballot;
    }

    /** The ballot that stood against it. */
    Ballot higher() {
        return higher;
    }

    long slot() {
        return base.slot() + 1;
    }

    /** Whom it asks. */
    List<String> voters() {
        return base.voters();
    }

    /** What it proposes: a vote that may have been the last needed binds it. */
    Decision value() {
        return highest == null ? wanted : highest.value();
    }

    /** What to ask a voter now that has not answered; null if nothing. */
    Message call(String voter) {
        return switch (state) {
            case PREPARING -> promised.contains(voter) ? null : new Message.Prepare(slot(), ballot);
            case PROPOSING -> voted.contains(voter) ? null : new Message.Accept(ballot, value());
            default -> null;
        };
    }

    /** A promise came. */
    void promise(String from, Message.Promise p) {
        if (state != State.PREPARING
                || !p.ballot().equals(ballot)
                || !base.voters().contains(from)) {
            return;
        }
        promised.add(from);
        if (p.vote() != null && (highest == null || p.vote().ballot().compareTo(highest.ballot()) > 0)) {
            highest = p.vote();
        }
        if (promised.size() >= base.quorum()) {
            to(value() == null ? State.IDLE : State.PROPOSING);
        }
    }

    /** A vote came. */
    void vote(String from, Message.Accepted v) {
        if (state != State.PROPOSING
                || !v.ballot().equals(ballot)
                || !base.voters().contains(from)) {
            return;
        }
        voted.add(from);
        if (voted.size() >= base.quorum()) {
            to(State.WON);
        }
    }

    /** A higher promise stands somewhere. */
    void outbid(Message.Nack o) {
        if (o.ballot().equals(ballot) && (state == State.PREPARING || state == State.PROPOSING)) {
            higher = o.promised();
            to(State.NACKED);
        }
    }

    private void to(State next) {
        state = next;
    }
}
