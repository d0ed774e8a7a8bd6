package whinlead.replication.raft;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Checks whether the incarnation that owns a name is still alive when another process appears under that name: the
 * incarnation proves it by returning the challenge's token. No I/O; the time is passed with each call.
 */
final class LivenessChallenges {
    /**
     * Time within which the earlier incarnation has to prove that it is alive; with a shorter one an incarnation that
     * is only slow could be replaced.
     */
    private static final double PROOF_TIMEOUT_MS = 1000;

    /** The state of a challenge to the earlier incarnation. */
    enum State {
        /** It is alive. */
        PROVEN,
        /** It did not reply in time. */
        EXPIRED,
        /** It may still reply. */
        PENDING
    }

    /**
     * One challenge.
     *
     * @param nonce of the new process under the name
     * @param token that the earlier incarnation has to return
     */
    record Challenge(long nonce, double sinceMs, long token, boolean proven) {
        State state(double nowMs) {
            if (proven) {
                return State.PROVEN;
            }
            return nowMs - sinceMs > PROOF_TIMEOUT_MS ? State.EXPIRED : State.PENDING;
        }
    }

    private final Random random;
    private final Map<String, Challenge> challenges = new HashMap<>();

    /** Without challenges; {@code random} draws the tokens. */
    LivenessChallenges(Random random) {
        this.random = random;
    }

    /** The existing or a new challenge to the incarnation of this name, on behalf of the process with this nonce. */
    Challenge challenge(String name, long nonce, double nowMs) {
        Challenge existing = challenges.get(name);
        if (existing != null && existing.nonce() == nonce) {
            return existing;
        }
        Challenge created = new Challenge(nonce, nowMs, random.nextLong(), false);
        challenges.put(name, created);
        return created;
    }

    /** An incarnation of this name has returned a token. */
    void receiveToken(String name, long token) {
        challenges.computeIfPresent(
                name,
                (key, challenge) -> challenge.token() == token
                        ? new Challenge(challenge.nonce(), challenge.sinceMs(), token, true)
                        : challenge);
    }
}
