package whinlead.mesh.consensus;

/**
 * One control node's vote, as Lamport's single-decree Paxos has it, slot after slot: it promises, votes, and keeps its
 * word. Pure; whoever drives it syncs {@link #memory} to disk before a reply that says so leaves.
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

    private State memory;

    /** A voter that remembers this. */
    public Acceptor(State memory) {
        this.memory = memory;
    }

    /** What it remembers now. */
    public State memory() {
        return memory;
    }

    /** The newest decision that it knows, or null. */
    public Decision decided() {
        return memory.decided();
    }

    /** Takes in a decision; false if it knew as much. */
    public boolean learn(Decision decision) {
        if (memory.decided() != null && decision.slot() <= memory.decided().slot()) {
            return false;
        }
        memory = new State(decision, Ballot.NONE, null);
        return true;
    }

    /** Answers to a call for a promise. */
    public Reply prepare(Message.Prepare call) {
        Reply reply = place(call.slot(), call.ballot());
        if (reply != null) {
            return reply;
        }
        memory = new State(memory.decided(), call.ballot(), memory.vote());
        return new Reply(new Message.Promise(call.slot(), call.ballot(), memory.vote()), true);
    }

    /** Answers to a call for a vote. */
    public Reply accept(Message.Accept call) {
        Reply reply = place(call.value().slot(), call.ballot());
        if (reply != null) {
            return reply;
        }
        memory = new State(memory.decided(), call.ballot(), new Message.Vote(call.ballot(), call.value()));
        return new Reply(new Message.Accepted(call.value().slot(), call.ballot()), true);
    }

    // The reply where the call is not about the slot to be voted on next, or a promise stands against it.
    private Reply place(long slot, Ballot ballot) {
        long have = memory.decided() == null ? -1 : memory.decided().slot();
        if (slot <= have) {
            return new Reply(new Message.Decided(memory.decided()), false);
        }
        if (slot > have + 1 || have < 0) {
            return new Reply(new Message.Lagging(slot, have), false);
        }
        return ballot.compareTo(memory.promised()) < 0
                ? new Reply(new Message.Nack(slot, ballot, memory.promised()), false)
                : null;
    }
}
