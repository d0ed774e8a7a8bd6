package whinlead.mesh.consensus;

/**
 * One control node's vote, as Lamport's single-decree Paxos has it, slot after slot: it promises, votes, and keeps its
 * word. Pure; whoever drives it syncs {@link #state} to disk before a reply that says so leaves.
 */
public final class Acceptor {
    /**
     * What must outlast a loss of power.
     *
     * @param decided the newest decision known, or null on a disk that is new
     * @param promised in the slot after it
     * @param vote in the slot after it, or null
     */
    public record State(Decision decided, Ballot promised, Message.Vote vote) {}

    /** A reply, and whether the memory must be on disk before it leaves. */
    public record Reply(Message message, boolean synced) {}

    private State state;

    /** A voter that remembers this. */
    public Acceptor(State state) {
        this.state = state;
    }

    /** What it remembers now. */
    public State state() {
        return state;
    }

    /** The newest decision that it knows, or null. */
    public Decision decided() {
        return state.decided();
    }

    /** Takes in a decision; false if it knew as much. */
    public boolean learn(Decision decision) {
        if (state.decided() != null && decision.slot() <= state.decided().slot()) {
            return false;
        }
        state = new State(decision, Ballot.NONE, null);
        return true;
    }

    /** Answers to a call for a promise. */
    public Reply prepare(Message.Prepare call) {
        Reply reply = place(call.slot(), call.ballot());
        if (reply != null) {
            return reply;
        }
        state = new State(state.decided(), call.ballot(), state.vote());
        return new Reply(new Message.Promise(call.slot(), call.ballot(), state.vote()), true);
    }

    /** Answers to a call for a vote. */
    public Reply accept(Message.Accept call) {
        Reply reply = place(call.value().slot(), call.ballot());
        if (reply != null) {
            return reply;
        }
        state = new State(state.decided(), call.ballot(), new Message.Vote(call.ballot(), call.value()));
        return new Reply(new Message.Accepted(call.value().slot(), call.ballot()), true);
    }

    // The reply where the call is not about the slot to be voted on next, or a promise stands against it.
    private Reply place(long slot, Ballot ballot) {
        long have = state.decided() == null ? -1 : state.decided().slot();
        if (slot <= have) {
            return new Reply(new Message.Decided(state.decided()), false);
        }
        if (slot > have + 1 || have < 0) {
            return new Reply(new Message.Lagging(slot, have), false);
        }
        return ballot.compareTo(state.promised()) < 0
                ? new Reply(new Message.Nack(slot, ballot, state.promised()), false)
                : null;
    }
}
