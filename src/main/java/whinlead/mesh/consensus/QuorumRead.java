package whinlead.mesh.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Asks a quorum for the newest decision that it knows, so that nothing older is taken for the newest (a read index).
 * Not safe for several threads; times in milliseconds.
 */
final class QuorumRead {
    /** Where a read stands. */
    enum State {
        IDLE,
        ASKING,
        CONFIRMED
    }

    private final RetryTimer retry = new RetryTimer();
    private final Set<String> answered = new HashSet<>();
    private State state = State.IDLE;
    private long nonce;
    private boolean voteOpen;

    State state() {
        return state;
    }

    /** Whether one that answered has a vote that may be decided. */
    boolean isVoteOpen() {
        return voteOpen;
    }

    /** Begins to ask, under a number that was never used before. */
    void begin(double now, long newNonce) {
        state = State.ASKING;
        nonce = newNonce;
        answered.clear();
        voteOpen = false;
        retry.restart(now);
    }

    /** What was confirmed, or asked, is worth nothing any more. */
    void reset() {
        state = State.IDLE;
    }

    /** A voter's answer; one that knows a newer decision counts once that decision is here. */
    void answered(String from, Message.State answer, Decision decided) {
        boolean current = decided != null && answer.slot() <= decided.slot();
        if (answer.nonce() == nonce && current && decided.voters().contains(from)) {
            answered.add(from);
            voteOpen |= answer.voted() && answer.slot() >= decided.slot();
        }
    }

    /** Confirms the read if a quorum has answered; false while it has not. */
    boolean confirm(Decision decided) {
        if (answered.size() < decided.quorum()) {
            return false;
        }
        state = State.CONFIRMED;
        return true;
    }

    /** The voters to ask now, for the first time or again. */
    List<String> unanswered(double now, Decision decided) {
        return retry.isDue(now)
                ? decided.voters().stream()
                        .filter(voter -> !answered.contains(voter))
                        .toList()
                : List.of();
    }

    /** The question. */
    Message.Query question(Decision decided) {
        return new Message.Query(nonce, decided.slot());
    }
}
