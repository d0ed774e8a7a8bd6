package whinlead.mesh.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Control nodes that asked for a vote, and whether each has caught up. One has, while its last word is of the last
 * second and names a slot at least as new as the newest that was known here half a second ago. While decisions follow
 * each other fast no learner ever holds the newest, but one that follows this closely has a working disk and a way to
 * the others, and that is all that its slot can show: a decision is whole, nothing is decided after a change of voters
 * but by a quorum of the new ones that have it on disk ({@link Acceptor}), and a control node votes only once it has
 * learned the decision that made it a voter. Where nothing is decided for half a second, a learner needs exactly the
 * newest. Not safe for several threads; times in milliseconds on this control node's steady clock.
 */
final class Learners {
    /** A request is valid for so many milliseconds. */
    private static final double REQUEST_LIMIT = 1000;
    /** A learner may lack what was decided in so many milliseconds before. */
    private static final double LAG_LIMIT = 500;

    private record Request(long slot, double at) {}

    private record Learned(long slot, double at) {}

    private final Map<String, Request> requests = new LinkedHashMap<>();
    /** The newest slot that is older than the limit, and all after it; the oldest first. */
    private final Deque<Learned> recent = new ArrayDeque<>();

    /** This control node has learned a decision. */
    void learned(double now, long slot) {
        if (recent.isEmpty() || slot > recent.getLast().slot() + 1) {
            // What this control node itself has missed is no measure of how far a learner may be behind.
            recent.clear();
            recent.add(new Learned(slot, Double.NEGATIVE_INFINITY));
        } else {
            recent.add(new Learned(slot, now));
        }
    }

    /** A control node without a vote asks for one, and has this slot on disk. */
    void requested(double now, String learner, long slot) {
        requests.values().removeIf(request -> now - request.at() >= REQUEST_LIMIT);
        requests.put(learner, new Request(slot, now));
    }

    /** Whether one has asked lately that is not among these voters. */
    boolean anyWaits(double now, List<String> voters) {
        return requests.entrySet().stream()
                .anyMatch(each -> isValid(now, each.getValue()) && !voters.contains(each.getKey()));
    }

    /** Those that have caught up and are not among these voters, in the order of their first request. */
    List<String> caughtUp(double now, List<String> voters) {
        if (requests.isEmpty()) {
            return List.of();
        }
        long needed = neededSlot(now);
        return requests.entrySet().stream()
                .filter(each -> isValid(now, each.getValue()) && each.getValue().slot() >= needed)
                .map(Map.Entry::getKey)
                .filter(learner -> !voters.contains(learner))
                .toList();
    }

    private static boolean isValid(double now, Request request) {
        return now - request.at() < REQUEST_LIMIT;
    }

    private long neededSlot(double now) {
        forgetOld(now);
        return recent.isEmpty() ? Long.MAX_VALUE : recent.getFirst().slot();
    }

    private void forgetOld(double now) {
        while (recent.size() > 1) {
            Learned first = recent.removeFirst();
            if (now - recent.getFirst().at() < LAG_LIMIT) {
                recent.addFirst(first);
                return;
            }
        }
    }
}
