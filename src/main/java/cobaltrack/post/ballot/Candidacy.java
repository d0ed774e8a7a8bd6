package cobaltrack.post.ballot;

import java.util.HashSet;
import java.util.Set;

/** One office's attempt to have a value agreed on in one slot. Pure. */
final class Candidacy {
    /** Where it stands. */
    enum State { PREPARING, PROPOSING, WON, OUTBID, IDLE }

    private final Decision base;
    private final Ballot ballot;
    private final Decision wanted;
    private final Set<String> promised = new HashSet<>();
    private final Set<String> voted = new HashSet<>();
    private Slip.Vote highest;
    private Ballot higher = Ballot.NONE;
    private State state = State.PREPARING;

    /**
     * An attempt.
     *
     * @param base the decision before
     * @param wanted the value to have agreed on, or null to only finish what another began
     */
    Candidacy(Decision base, Ballot ballot, Decision wanted) {
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

    /** What it proposes: a vote that may have been the last needed binds it. */
    Decision value() {
        return highest == null ? wanted : highest.value();
    }

    /** What to ask an elector now that has not answered; null if nothing. */
    Slip call(String elector) {
        return switch (state) {
            case PREPARING -> promised.contains(elector) ? null : new Slip.Prepare(slot(), ballot);
            case PROPOSING -> voted.contains(elector) ? null : new Slip.Propose(ballot, value());
            default -> null;
        };
    }

    /** A promise came. */
    void promise(String from, Slip.Promise p) {
        if (state != State.PREPARING || !p.ballot().equals(ballot) || !base.electors().contains(from)) {
            return;
        }
        promised.add(from);
        if (p.vote() != null && (highest == null || p.vote().ballot().compareTo(highest.ballot()) > 0)) {
            highest = p.vote();
        }
        if (promised.size() >= base.majority()) {
            to(value() == null ? State.IDLE : State.PROPOSING);
        }
    }

    /** A vote came. */
    void vote(String from, Slip.Voted v) {
        if (state != State.PROPOSING || !v.ballot().equals(ballot) || !base.electors().contains(from)) {
            return;
        }
        voted.add(from);
        if (voted.size() >= base.majority()) {
            to(State.WON);
        }
    }

    /** A higher promise stands somewhere. */
    void outbid(Slip.Outbid o) {
        if (o.ballot().equals(ballot) && (state == State.PREPARING || state == State.PROPOSING)) {
            higher = o.promised();
            to(State.OUTBID);
        }
    }

    private void to(State next) {
        state = next;
    }
}
