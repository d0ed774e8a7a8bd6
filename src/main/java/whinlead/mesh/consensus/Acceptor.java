package whinlead.mesh.consensus;

/**
 * The acceptor of one control node, after Lamport's single-decree Paxos, applied to one slot after another. Pure: the
 * caller must sync {@link #state} to disk before it sends a reply that depends on it.
 */
public final class Acceptor {
    /**
     * The state that must survive a loss of power.
     *
     * @param decided the newest known decision, or null on a new disk
     * @param promised the highest ballot promised in the slot after {@code decided}
     * @param vote the last vote in that slot, or null
     */
    public record State(Decision decided, Ballot promised, Message.Vote vote) {}

    /** A reply, and whether the state must be on disk before it is sent. */
    public record Reply(Message message, boolean requiresSync) {}

    private State state;

    /** An acceptor with this state. */
    public Acceptor(State state) {
        this.state = state;
    }

    /** The current state. */
    public State state() {
        return state;
    }

    /** The newest known decision, or null. */
    public Decision decided() {
        return state.decided();
    }

    /** Stores a decision; false if this or a newer one was known already. */
    public boolean learn(Decision decision) {
        if (state.decided() != null && decision.slot() <= state.decided().slot()) {
            return false;
        }
        state = new State(decision, Ballot.NONE, null);
        return true;
    }

    /** Answers a request for a promise. */
    public Reply prepare(Message.Prepare request) {
        Reply rejection = findRejection(request.slot(), request.ballot());
        if (rejection != null) {
            return rejection;
        }
        state = new State(state.decided(), request.ballot(), state.vote());
        return new Reply(new Message.Promise(request.slot(), request.ballot(), state.vote()), true);
    }

    /** Answers a request for a vote. */
    public Reply accept(Message.Accept request) {
        Reply rejection = findRejection(request.value().slot(), request.ballot());
        if (rejection != null) {
            return rejection;
        }
        state = new State(state.decided(), request.ballot(), new Message.Vote(request.ballot(), request.value()));
        return new Reply(new Message.Accepted(request.value().slot(), request.ballot()), true);
    }

    // The reply if the request is not for the next slot to be voted on, or a higher ballot was promised; else null.
    private Reply findRejection(long slot, Ballot ballot) {
        long decidedSlot = state.decided() == null ? -1 : state.decided().slot();
        if (slot <= decidedSlot) {
            return new Reply(new Message.Decided(state.decided()), false);
        }
        if (slot > decidedSlot + 1 || decidedSlot < 0) {
            return new Reply(new Message.Lagging(slot, decidedSlot), false);
        }
        return ballot.compareTo(state.promised()) < 0
                ? new Reply(new Message.Nack(slot, ballot, state.promised()), false)
                : null;
    }
}
