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
 * Gathers second opinions on voters that have been silent for this observer. A silent voter is removable only once a
 * majority of all voters, this observer among them, says that it had no answer from the suspect for the silence time
 * either. A voter that still answers one of them refutes the suspicion for a while.
 *
 * <p>A voter in contact with a quorum can't be removed: that quorum and the majority which would have to be silent
 * about it share a voter. And wherever a decision is possible at all a quorum is up to confirm. Pure; one thread; times
 * in milliseconds on the observer's own steady clock.
 */
final class SuspicionTracker {
    /** An opinion counts for so long after its question left, in milliseconds. */
    static final double OPINION_VALID = 1000;
    /** After a refutation the suspect is not asked about again for so long, in milliseconds. */
    static final double REFUTED_FOR = 1000;
    /** Time between questions while opinions are still wanting, in milliseconds. */
    static final double ASK_AGAIN = 150;
    /** Confirmed opinions are renewed at this age, in milliseconds, so that they don't lapse meanwhile. */
    static final double RENEW_AFTER = 500;

    /** What a voter said, and when the question that it answered left here. */
    private record Statement(Message.Reachability reachability, double askedAt) {}

    /** A question to send to the other voters. */
    record Question(long nonce, List<String> suspects) {}

    private final String observer;
    private List<String> voters = List.of();
    /** By suspect, by the voter that was asked. */
    private final Map<String, Map<String, Statement>> statements = new HashMap<>();
    /** When the questions that may still be answered left, by their nonce. */
    private final Map<Long, Double> questions = new HashMap<>();

    private double askedAt = Double.NEGATIVE_INFINITY;

    /**
     * A tracker that has asked nothing.
     *
     * @param observer the id of the voter that keeps it
     */
    SuspicionTracker(String observer) {
        this.observer = observer;
    }

    /** From now on these are the voters: what others have said, or what was said of others, is dropped. */
    void retain(Collection<String> newVoters) {
        voters = List.copyOf(newVoters);
        statements.keySet().retainAll(voters);
        statements.values().forEach(byVoter -> byVoter.keySet().retainAll(voters));
    }

    /**
     * The question to send now, or null if none is due.
     *
     * @param silent whom this observer has had no answer from for the silence time
     * @param nonces draws a name for the question, one that no earlier life of this observer has used
     */
    Question due(double now, Collection<String> silent, LongSupplier nonces) {
        List<String> open =
                silent.stream().filter(suspect -> !refuted(now, suspect)).toList();
        boolean confirmed = open.stream().allMatch(suspect -> removable(now, suspect));
        if (open.isEmpty() || now - askedAt < (confirmed ? RENEW_AFTER : ASK_AGAIN)) {
            return null;
        }
        askedAt = now;
        questions.values().removeIf(at -> now - at >= OPINION_VALID);
        long nonce = nonces.getAsLong();
        questions.put(nonce, now);
        return new Question(nonce, open);
    }

    /** A voter answered; what answers no question, or one asked too long ago, counts for nothing. */
    void answered(double now, String voter, long nonce, List<Message.Opinion> opinions) {
        Double sentAt = questions.get(nonce);
        if (sentAt == null || now - sentAt >= OPINION_VALID || !voters.contains(voter)) {
            return;
        }
        for (Message.Opinion opinion : opinions) {
            if (voters.contains(opinion.voter()) && !opinion.voter().equals(voter)) {
                statements
                        .computeIfAbsent(opinion.voter(), s -> new HashMap<>())
                        .merge(
                                voter,
                                new Statement(opinion.reachability(), sentAt),
                                (old, young) -> young.askedAt() >= old.askedAt() ? young : old);
            }
        }
    }

    /** Whether a suspect that is silent for this observer may lose its vote on the word of a majority. */
    boolean removable(double now, String suspect) {
        if (!voters.contains(suspect) || !voters.contains(observer) || refuted(now, suspect)) {
            return false;
        }
        Set<String> confirming = new HashSet<>(List.of(observer));
        statements.getOrDefault(suspect, Map.of()).forEach((voter, statement) -> {
            if (statement.reachability() == Message.Reachability.SILENT && now - statement.askedAt() < OPINION_VALID) {
                confirming.add(voter);
            }
        });
        return confirming.size() >= voters.size() / 2 + 1;
    }

    private boolean refuted(double now, String suspect) {
        Predicate<Statement> refutes = statement ->
                statement.reachability() == Message.Reachability.REACHED && now - statement.askedAt() < REFUTED_FOR;
        return statements.getOrDefault(suspect, Map.of()).values().stream().anyMatch(refutes);
    }
}
