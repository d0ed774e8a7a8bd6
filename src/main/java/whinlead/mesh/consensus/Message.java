package whinlead.mesh.consensus;

import java.util.List;

/** What control nodes say to each other about ballots. Each is about one slot; replies echo it and the ballot. */
public sealed interface Message {
    /** A vote once given. */
    record Vote(Ballot ballot, Decision value) {}

    /** Asks for a promise to vote in no lower ballot. */
    record Prepare(long slot, Ballot ballot) implements Message {}

    /** Promised; {@code vote} is the last one given in this slot, or null. */
    record Promise(long slot, Ballot ballot, Vote vote) implements Message {}

    /** Asks for a vote. */
    record Accept(Ballot ballot, Decision value) implements Message {}

    /** Accepted. */
    record Accepted(long slot, Ballot ballot) implements Message {}

    /** Not promised or voted, for a higher promise stands. */
    record Nack(long slot, Ballot ballot, Ballot promised) implements Message {}

    /** Not promised or voted, for the sender knows no decision before this slot but this older one. */
    record Lagging(long slot, long have) implements Message {}

    /** A decision, whole. */
    record Decided(Decision decision) implements Message {}

    /** How a voter fares with asking another one. */
    enum Reachability {
        /** It was answered lately. */
        REACHED,
        /** Neither of the others holds: for a while no answer came, or it has not asked for long enough. */
        UNSURE,
        /** It had no answer for the whole silence time. */
        SILENT
    }

    /** What the sender can say of whether it reaches a voter. */
    record Opinion(String voter, Reachability reachability) {}

    /**
     * Asks what the other knows.
     *
     * @param slot the newest decision that the one who asks has, or -1
     * @param suspects voters that don't answer the one who asks, on whom it wants an opinion; mostly none
     */
    record Query(long nonce, long slot, List<String> suspects) implements Message {
        /** Copies the list. */
        public Query {
            suspects = List.copyOf(suspects);
        }

        /** A question that wants no opinion. */
        public Query(long nonce, long slot) {
            this(nonce, slot, List.of());
        }
    }

    /**
     * The answer to a query.
     *
     * @param slot its newest decision's slot
     * @param voted whether it has voted in the slot after
     * @param opinions on the suspects; none from a program that does not know the question
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

    /** A control node that is no voter asks to be one; a learner that has this slot's decision on disk. */
    record Join(long slot) implements Message {}
}
