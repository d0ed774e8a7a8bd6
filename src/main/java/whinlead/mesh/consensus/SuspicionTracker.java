package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Collects second opinions on voters that have been silent towards this observer. A silent voter is removable only once
 * a majority of all voters, this observer included, has had no answer from the suspect for the silence time. A voter
 * that still gets answers from the suspect refutes the suspicion for a while.
 *
 * <p>A voter in contact with a quorum can't be removed, because that quorum and the majority that would have to find it
 * silent share a voter. Whenever a decision is possible at all, a quorum is up to confirm the silence. Pure; one
 * thread; times in milliseconds on the observer's own steady clock.
 */
final class SuspicionTracker {
    /** How long an opinion is valid after its question was sent, in milliseconds. */
    static final double OPINION_VALID_MS = 1000;
    /** How long the suspect is not asked about again after a refutation, in milliseconds. */
    static final double REFUTED_FOR_MS = 1000;
    /** Time between questions while confirmation is missing, in milliseconds. */
    static final double ASK_INTERVAL_MS = 150;
    /** The age at which confirmed opinions are renewed, in milliseconds, so that they don't expire meanwhile. */
    static final double RENEW_AFTER_MS = 500;

    /** A voter's opinion, and when the question that it answers was sent. */
    private record ReceivedOpinion(Message.Reachability reachability, double askedAtMs) {}

    /** A question to send to the other voters. */
    record Question(long nonce, List<String> suspects) {}

    private final String observer;
    private List<String> voters = List.of();
    /** The opinions by suspect and by the voter that was asked. */
    private final Map<String, Map<String, ReceivedOpinion>> opinions = new HashMap<>();
    /** When each question that may still be answered was sent, by its nonce. */
    private final Map<Long, Double> sentAtMs = new HashMap<>();

    private double lastAskedMs = Double.NEGATIVE_INFINITY;

    /**
     * A tracker that has asked nothing.
     *
     * @param observer the id of the voter that runs this tracker
     */
    SuspicionTracker(String observer) {
        this.observer = observer;
    }

    /** Replaces the set of voters; drops the opinions of former voters and those on them. */
    void retain(Collection<String> newVoters) {
        voters = List.copyOf(newVoters);
        opinions.keySet().retainAll(voters);
        opinions.values().forEach(byVoter -> byVoter.keySet().retainAll(voters));
    }

    /**
     * The question to send now, or null if none is due.
     *
     * @param silent the voters from which this observer has had no answer for the silence time
     * @param nonces draws a nonce that no earlier process of this observer has used
     */
    Question dueQuestion(double nowMs, Collection<String> silent, LongSupplier nonces) {
        List<String> unrefuted =
                silent.stream().filter(suspect -> !isRefuted(nowMs, suspect)).toList();
        boolean confirmed = unrefuted.stream().allMatch(suspect -> isRemovable(nowMs, suspect));
        if (unrefuted.isEmpty() || nowMs - lastAskedMs < (confirmed ? RENEW_AFTER_MS : ASK_INTERVAL_MS)) {
            return null;
        }
        lastAskedMs = nowMs;
        sentAtMs.values().removeIf(askedAtMs -> nowMs - askedAtMs >= OPINION_VALID_MS);
        long nonce = nonces.getAsLong();
        sentAtMs.put(nonce, nowMs);
        return new Question(nonce, unrefuted);
    }

    /** A voter answered; answers to unknown or expired questions are ignored. */
    void opinionsReceived(double nowMs, String voter, long nonce, List<Message.Opinion> answers) {
        Double askedAtMs = sentAtMs.get(nonce);
        if (askedAtMs == null || nowMs - askedAtMs >= OPINION_VALID_MS || !voters.contains(voter)) {
            return;
        }
        for (Message.Opinion opinion : answers) {
            if (voters.contains(opinion.voter()) && !opinion.voter().equals(voter)) {
                opinions.computeIfAbsent(opinion.voter(), s -> new HashMap<>())
                        .merge(
                                voter,
                                new ReceivedOpinion(opinion.reachability(), askedAtMs),
                                (older, newer) -> newer.askedAtMs() >= older.askedAtMs() ? newer : older);
            }
        }
    }

    /**
     * Whether a suspect that is silent towards this observer may lose its vote because a majority confirms the silence.
     */
    boolean isRemovable(double nowMs, String suspect) {
        if (!voters.contains(suspect) || !voters.contains(observer) || isRefuted(nowMs, suspect)) {
            return false;
        }
        Set<String> confirming = new HashSet<>(List.of(observer));
        opinions.getOrDefault(suspect, Map.of()).forEach((voter, opinion) -> {
            if (opinion.reachability() == Message.Reachability.SILENT
                    && nowMs - opinion.askedAtMs() < OPINION_VALID_MS) {
                confirming.add(voter);
            }
        });
        return confirming.size() >= voters.size() / 2 + 1;
    }

    private boolean isRefuted(double nowMs, String suspect) {
        Predicate<ReceivedOpinion> refutes = opinion ->
                opinion.reachability() == Message.Reachability.REACHED && nowMs - opinion.askedAtMs() < REFUTED_FOR_MS;
        return opinions.getOrDefault(suspect, Map.of()).values().stream().anyMatch(refutes);
    }
}
