package cobaltrack.post.ballot;

import java.util.ArrayList;
import java.util.List;

/**
 * Which voters the next decision has: one voter more, less or exchanged for another at a time, so that the
 * quorums before and after share a member. Reads contact and the failure detector, sends nothing. Not safe
 * for several threads; times in milliseconds on this office's steady clock.
 */
final class Membership {
    /** So many voters are not made fewer: two would keep what is agreed on no third disk. */
    private static final int VOTERS_LEAST = 3;
    /** A voter whose answered question left so many milliseconds ago may be out of reach now. */
    private static final double CONTACT_LIMIT = 1000;
    /** A learner's request is valid for so many milliseconds. */
    private static final double REQUEST_LIMIT = 1000;

    private final String self;
    private final Contact contact;
    private final FailureDetector failures;
    private boolean leaving;
    private String learner = "";
    private long learnerSlot;
    private double requestedAt = Double.NEGATIVE_INFINITY;

    Membership(String self, Contact contact, FailureDetector failures) {
        this.self = self;
        this.contact = contact;
        this.failures = failures;
    }

    /** Where an id's office can be found: the address in it. */
    static String address(String id) {
        int mark = id.indexOf('#');
        return mark < 0 ? id : id.substring(0, mark);
    }

    /** This office is to give up its vote. */
    void leave() {
        leaving = true;
    }

    /** Whether {@link #leave} was called. */
    boolean isLeaving() {
        return leaving;
    }

    /** An office without a vote asks for one, and has this slot on disk. */
    void requested(double now, String from, long slot) {
        requestedAt = now;
        learner = from;
        learnerSlot = slot;
    }

    /** Whether this office is still to give up its vote. */
    boolean mustHandOver(double now, Decision decided) {
        return decided.electors().contains(self) && (mayShrink(decided) || hasLearner(now, decided));
    }

    /**
     * The operation that is due without anyone's request, or null. With an even number of voters one that has
     * failed is removed: the rest has the same quorum less one. So are two of an odd number, one after the
     * other. One that leaves is exchanged for a learner, or removed whatever the number; one that has failed
     * is exchanged as soon as that is sure, without waiting for the learner to ask again.
     */
    PendingOperation due(double now, Decision decided) {
        int failed = failures.failed(now, decided.electors()).size();
        boolean exchanges = leaving || failed > 0 && learnerSlot == decided.slot();
        if (exchanges && hasLearner(now, decided)) {
            return new PendingOperation.AddVoter(learner, learnerSlot);
        }
        int failedLeast = decided.electors().size() % 2 == 0 ? 1 : 2;
        boolean removes = leaving || failed >= failedLeast;
        return mayShrink(decided) && removes ? new PendingOperation.RemoveVoter(decided.slot()) : null;
    }

    /** The next decision, in which the learner has a vote; null where it may not have one now. */
    Decision add(double now, Decision decided, PendingOperation.AddVoter operation) {
        String added = operation.learner();
        if (operation.slot() != decided.slot() || decided.electors().contains(added)) {
            return null;
        }
        List<String> voters = new ArrayList<>(decided.electors());
        String replaced = replacedBy(now, decided, added);
        if (replaced != null) {
            voters.set(voters.indexOf(replaced), added);
        } else if (allReached(now, decided)) {
            voters.add(added);
        } else {
            // A vote beside one that may be dead would leave no room for the next loss.
            return null;
        }
        return decided.with(voters);
    }

    /** The next decision, without a voter that leaves or has failed; null where none is to be removed. */
    Decision remove(double now, Decision decided, PendingOperation.RemoveVoter operation) {
        String removed = leavingOrFailed(now, decided);
        if (operation.slot() != decided.slot() || removed == null || !mayShrink(decided)) {
            return null;
        }
        List<String> voters = new ArrayList<>(decided.electors());
        voters.remove(removed);
        return decided.with(voters);
    }

    // One at the same address has lost its disk, and with it its vote. That needs no second opinion, nor does
    // one's own leaving: the successor's request is the proof that the old one will not vote again.
    private String replacedBy(double now, Decision decided, String added) {
        return decided.electors().stream().filter(voter -> address(voter).equals(address(added))).findFirst()
                .orElseGet(() -> leavingOrFailed(now, decided));
    }

    private String leavingOrFailed(double now, Decision decided) {
        if (leaving && decided.electors().contains(self)) {
            return self;
        }
        return failures.failed(now, decided.electors()).stream().findFirst().orElse(null);
    }

    private boolean mayShrink(Decision decided) {
        return decided.electors().size() > VOTERS_LEAST;
    }

    // Whether a learner has asked lately, and has no vote yet.
    private boolean hasLearner(double now, Decision decided) {
        return now - requestedAt < REQUEST_LIMIT && !decided.electors().contains(learner);
    }

    private boolean allReached(double now, Decision decided) {
        return decided.electors().stream()
                .allMatch(voter -> voter.equals(self) || contact.reached(now, CONTACT_LIMIT, voter));
    }
}
