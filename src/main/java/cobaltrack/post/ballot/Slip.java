package cobaltrack.post.ballot;

/** What offices say to each other about ballots. Each is about one slot; replies echo it and the ballot. */
public sealed interface Slip {
    /** A vote once given. */
    record Vote(Ballot ballot, Decision value) { }

    /** Asks for a promise to vote in no lower ballot. */
    record Prepare(long slot, Ballot ballot) implements Slip { }

    /** Promised; {@code vote} is the last one given in this slot, or null. */
    record Promise(long slot, Ballot ballot, Vote vote) implements Slip { }

    /** Asks for a vote. */
    record Propose(Ballot ballot, Decision value) implements Slip { }

    /** Voted. */
    record Voted(long slot, Ballot ballot) implements Slip { }

    /** Not promised or voted, for a higher promise stands. */
    record Outbid(long slot, Ballot ballot, Ballot promised) implements Slip { }

    /** Not promised or voted, for the sender knows no decision before this slot but this older one. */
    record Lagging(long slot, long have) implements Slip { }

    /** A decision, whole. */
    record Decided(Decision decision) implements Slip { }

    /** Asks what the other knows; {@code slot} is the newest decision that the one who asks has, or -1. */
    record Query(long nonce, long slot) implements Slip { }

    /** The answer: its newest decision's slot, and whether it has voted in the slot after. */
    record State(long nonce, long slot, boolean voted) implements Slip { }

    /** An office that is no elector asks to be one; a learner that has this slot's decision on disk. */
    record Join(long slot) implements Slip { }
}
