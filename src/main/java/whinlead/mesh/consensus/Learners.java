package whinlead.mesh.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Control nodes that asked for a vote, and whether each has caught up. A learner has caught up if its last request is
 * at most a second old and names a slot at least as new as the newest one known here half a second ago. During a stream
 * of decisions no learner ever has the newest, but a learner that follows this closely has a working disk and a
 * connection to the others, which is all that its slot can prove: a decision is complete in itself, nothing is decided
 * after a change of voters except by a quorum of the new voters that have it on disk ({@link Acceptor}), and a control
 * node votes only once it has learned the decision that made it a voter. If nothing is decided for half a second, a
 * learner needs exactly the newest slot. Not safe for several threads; times in milliseconds on this control node's
 * steady clock.
 */
final class Learners {
    /** How long a request is valid, in milliseconds. */
    private static final double REQUEST_VALID_MS = 1000;
    /** A learner may lack the decisions of this last period, in milliseconds. */
    private static final double LAG_LIMIT_MS = 500;

    private record Request(long slot, double receivedAtMs) {}

    private record LearnedSlot(long slot, double learnedAtMs) {}

    private final Map<String, Request> requests = new LinkedHashMap<>();
    /** The newest slot learned before the lag limit and all later ones, oldest first. */
    private final Deque<LearnedSlot> recentSlots = new ArrayDeque<>();

    /** This control node has learned a decision. */
    void decisionLearned(double nowMs, long slot) {
        if (recentSlots.isEmpty() || slot > recentSlots.getLast().slot() + 1) {
            // A gap in this node's own decisions is no measure of how far a learner may be behind.
            recentSlots.clear();
            recentSlots.add(new LearnedSlot(slot, Double.NEGATIVE_INFINITY));
        } else {
            recentSlots.add(new LearnedSlot(slot, nowMs));
        }
    }

    /** A control node without a vote asks for one, and has this slot on disk. */
    void voteRequested(double nowMs, String learner, long slot) {
        requests.values().removeIf(request -> nowMs - request.receivedAtMs() >= REQUEST_VALID_MS);
        requests.put(learner, new Request(slot, nowMs));
    }

    /** Whether a valid request exists from a node that is not among these voters. */
    boolean hasPendingRequest(double nowMs, List<String> voters) {
        return requests.entrySet().stream()
                .anyMatch(request -> isValid(nowMs, request.getValue()) && !voters.contains(request.getKey()));
    }

    /** The learners that have caught up and are not among these voters, in the order of their first request. */
    List<String> caughtUp(double nowMs, List<String> voters) {
        if (requests.isEmpty()) {
            return List.of();
        }
        long requiredSlot = requiredSlot(nowMs);
        return requests.entrySet().stream()
                .filter(request ->
                        isValid(nowMs, request.getValue()) && request.getValue().slot() >= requiredSlot)
                .map(Map.Entry::getKey)
                .filter(learner -> !voters.contains(learner))
                .toList();
    }

    private static boolean isValid(double nowMs, Request request) {
        return nowMs - request.receivedAtMs() < REQUEST_VALID_MS;
    }

    private long requiredSlot(double nowMs) {
        dropOldSlots(nowMs);
        return recentSlots.isEmpty() ? Long.MAX_VALUE : recentSlots.getFirst().slot();
    }

    private void dropOldSlots(double nowMs) {
        while (recentSlots.size() > 1) {
            LearnedSlot first = recentSlots.removeFirst();
            if (nowMs - recentSlots.getFirst().learnedAtMs() < LAG_LIMIT_MS) {
                recentSlots.addFirst(first);
                return;
            }
        }
    }
}
