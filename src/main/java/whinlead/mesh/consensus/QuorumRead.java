package whinlead.mesh.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Asks a quorum for its newest known decision, so that a stale decision is not returned as the newest (a read index).
 * Not safe for several threads; times in milliseconds.
 */
final class QuorumRead {
    /** The state of a read. */
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

    /** Whether a voter that answered has an open vote, whose value may be decided. */
    boolean isVoteOpen() {
        return voteOpen;
    }

    /** Starts asking, with a nonce that was never used before. */
    void begin(double nowMs, long newNonce) {
        state = State.ASKING;
        nonce = newNonce;
        answered.clear();
        voteOpen = false;
        retry.restart(nowMs);
    }

    /** Drops the read and its confirmation. */
    void reset() {
        state = State.IDLE;
    }

    /**
     * Handles a voter's answer; if the voter knows a newer decision, the answer counts only once that decision is known
     * here.
     */
    void stateReceived(String from, Message.State answer, Decision decided) {
        boolean isCurrent = decided != null && answer.slot() <= decided.slot();
        if (answer.nonce() == nonce && isCurrent && decided.voters().contains(from)) {
            answered.add(from);
            voteOpen |= answer.voted() && answer.slot() >= decided.slot();
        }
    }

    /** Confirms the read if a quorum has answered; returns false otherwise. */
    boolean confirm(Decision decided) {
        if (answered.size() < decided.quorum()) {
            return false;
        }
        state = State.CONFIRMED;
        return true;
    }

    /** The voters to ask now, for the first time or again. */
    List<String> unanswered(double nowMs, Decision decided) {
        return retry.isDue(nowMs)
                ? decided.voters().stream()
                        .filter(voter -> !answered.contains(voter))
                        .toList()
                : List.of();
    }

    /** The query to send to the voters. */
    Message.Query query(Decision decided) {
        return new Message.Query(nonce, decided.slot());
    }
}
