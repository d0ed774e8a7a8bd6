package cobaltrack.post.ballot;

/** What offices say to each other about ballots. Each is about one slot; replies echo it and the ballot. */
public sealed interface Message {
    /** A vote once given. */
    record Vote(Ballot ballot, Decision value) { }

    /** Asks for a promise to vote in no lower ballot. */
    record Prepare(long slot, Ballot ballot) implements Message { }

    /** Promised; {@code vote} is the last one given in this slot, or null. */
    record Promise(long slot, Ballot ballot, Vote vote) implements Message { }

    /** Asks for a vote. */
    record Accept(Ballot ballot, Decision value) implements Message { }

    /** Accepted. */
    record Accepted(long slot, Ballot ballot) implements Message { }

    /** Not promised or voted, for a higher promise stands. */
    record Nack(long slot, Ballot ballot, Ballot promised) implements Message { }

    /** Not promised or voted, for the sender knows no decision before this slot but this older one. */
    record Lagging(long slot, long have) implements Message { }

    /** A decision, whole. */
    record Decided(Decision decision) implements Message { }

    /** Asks what the other knows; {@code slot} is the newest decision that the one who asks has, or -1. */
    record Query(long nonce, long slot) implements Message { }

    /** The answer: its newest decision's slot, and whether it has voted in the slot after. */
    record State(long nonce, long slot, boolean voted) implements Message { }

    /** An office that is no elector asks to be one; a learner that has this slot's decision on disk. */
    record Join(long slot) implements Message { }
}
