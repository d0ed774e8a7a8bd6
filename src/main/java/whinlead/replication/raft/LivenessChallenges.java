package whinlead.replication.raft;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Finds out whether the life that has a name still lives, when another process asks under that name: whoever answers
 * the challenge's token with that life does. No I/O; time comes with each call.
 */
final class LivenessChallenges {
    /**
     * In which an earlier life has to prove that it lives, in milliseconds; a shorter time could replace one that is
     * only slow.
     */
    private static final double PROOF_MS = 1000;

    /** What is known of the earlier life. */
    enum State {
        /** It lives. */
        PROVEN,
        /** It did not prove that in time. */
        EXPIRED,
        /** It may still prove that. */
        PENDING
    }

    /**
     * One challenge.
     *
     * @param nonce of the process that asks under the name
     * @param token to be answered by the earlier life
     */
    record Challenge(long nonce, double since, long token, boolean proven) {
        State state(double now) {
            if (proven) {
                return State.PROVEN;
            }
            return now - since > PROOF_MS ? State.EXPIRED : State.PENDING;
        }
    }

    private final Random random;
    private final Map<String, Challenge> challenges = new HashMap<>();

    /** None yet; tokens are drawn with this. */
    LivenessChallenges(Random random) {
        this.random = random;
    }

    /** The challenge, present or new, to the life of this name for a process that asks under that. */
    Challenge challenge(String name, long nonce, double now) {
        Challenge present = challenges.get(name);
        if (present != null && present.nonce() == nonce) {
            return present;
        }
        Challenge begun = new Challenge(nonce, now, random.nextLong(), false);
        challenges.put(name, begun);
        return begun;
    }

    /** A life of this name has answered a token. */
    void answered(String name, long token) {
        challenges.computeIfPresent(
                name,
                (key, challenge) -> challenge.token() == token
                        ? new Challenge(challenge.nonce(), challenge.since(), token, true)
                        : challenge);
    }
}
