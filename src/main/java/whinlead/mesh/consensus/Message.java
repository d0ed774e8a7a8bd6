package whinlead.mesh.consensus;

import java.util.List;

/** Messages between control nodes about ballots. Each is about one slot; replies repeat the slot and the ballot. */
public sealed interface Message {
    /** A vote that was given. */
    record Vote(Ballot ballot, Decision value) {}

    /** Requests a promise to vote in no lower ballot. */
    record Prepare(long slot, Ballot ballot) implements Message {}

    /** The promise; {@code vote} is the last vote given in this slot, or null. */
    record Promise(long slot, Ballot ballot, Vote vote) implements Message {}

    /** Requests a vote. */
    record Accept(Ballot ballot, Decision value) implements Message {}

    /** The vote. */
    record Accepted(long slot, Ballot ballot) implements Message {}

    /** Rejects a promise or vote because a higher ballot was promised. */
    record Nack(long slot, Ballot ballot, Ballot promised) implements Message {}

    /** Rejects a promise or vote because the sender knows no decision for the previous slot, only an older one. */
    record Lagging(long slot, long decidedSlot) implements Message {}

    /** A decision, complete. */
    record Decided(Decision decision) implements Message {}

    /** A voter's contact with another voter. */
    enum Reachability {
        /** The other voter answered recently. */
        REACHED,
        /** Neither of the others: no answer came for some time, or the silence time has not passed yet. */
        UNSURE,
        /** The other voter did not answer for the whole silence time. */
        SILENT
    }

    /** The sender's opinion on whether it reaches a voter. */
    record Opinion(String voter, Reachability reachability) {}

    /**
     * Asks for the recipient's state.
     *
     * @param slot the newest decision that the sender has, or -1
     * @param suspects voters that do not answer the sender, on which it wants opinions; usually none
     */
    record Query(long nonce, long slot, List<String> suspects) implements Message {
        /** Copies the list. */
        public Query {
            suspects = List.copyOf(suspects);
        }

        /** A query without suspects. */
        public Query(long nonce, long slot) {
            this(nonce, slot, List.of());
        }
    }

    /**
     * The answer to a query.
     *
     * @param slot the slot of the sender's newest decision
     * @param voted whether the sender has voted in the slot after it
     * @param opinions on the suspects; empty from a version that does not know them
     */
    record State(long nonce, long slot, boolean voted, List<Opinion> opinions) implements Message {
        /** Copies the list. */
        public State {
            opinions = List.copyOf(opinions);
        }

        /** An answer without opinions. */
        public State(long nonce, long slot, boolean voted) {
            this(nonce, slot, voted, List.of());
        }
    }

    /** A control node without a vote asks for one; it is a learner that has this slot's decision on disk. */
    record Join(long slot) implements Message {}
}
