package whinlead.mesh.consensus;

import java.util.List;

/**
 * Decides which voters the next decision has. Each change adds, removes or exchanges one voter, so the quorums before
 * and after share a member. The due change is computed from the newest decision, the learners' latest requests and the
 * failure detector on each call, and binds nobody until it is proposed. Sends nothing. Not safe for several threads;
 * times in milliseconds on this control node's steady clock.
 */
final class Membership {
    /** The number of voters is not reduced below this: with two, no third disk would hold the agreed state. */
    private static final int MIN_VOTERS = 3;
    /** Contact with a voter is in doubt if its last answered ping was sent this long ago, in milliseconds. */
    private static final double CONTACT_LIMIT_MS = 1000;

    private final String self;
    private final ContactTracker contact;
    private final FailureDetector failures;
    private final Learners learners = new Learners();
    private boolean leaving;
    /** The slot that others must have on disk before this control node may stop. */
    private long departureSlot = -1;

    private boolean isVoter;

    Membership(String self, ContactTracker contact, FailureDetector failures) {
        this.self = self;
        this.contact = contact;
        this.failures = failures;
    }

    /** The network address contained in a control node's id. */
    static String address(String id) {
        int separator = id.indexOf('#');
        return separator < 0 ? id : id.substring(0, separator);
    }

    /** Starts giving up this control node's vote. */
    void leave(Decision decided) {
        leaving = true;
        departureSlot = decided == null ? -1 : decided.slot();
    }

    /** Whether {@link #leave} was called. */
    boolean isLeaving() {
        return leaving;
    }

    /** This control node has learned a decision. */
    void decisionLearned(double nowMs, Decision decision) {
        learners.decisionLearned(nowMs, decision.slot());
        boolean votesNow = decision.voters().contains(self);
        if (isVoter && !votesNow) {
            departureSlot = decision.slot();
        }
        isVoter = votesNow;
    }

    /** A control node without a vote asks for one, and has this slot on disk. */
    void voteRequested(double nowMs, String learner, long slot) {
        learners.voteRequested(nowMs, learner, slot);
    }

    /**
     * Whether this control node may stop after {@link #leave}: it has no vote or need not give it up, and the decision
     * that removed it (or the newest one when it began to leave) is on the disks of a quorum and of all voters in
     * contact. Later decisions reach a quorum's disks without this control node, so it does not wait for them during a
     * stream of decisions.
     */
    boolean mayStop(double nowMs, Decision decided, long storedSlot) {
        List<String> voters = decided.voters();
        boolean mustHandOver =
                voters.contains(self) && (mayShrink(decided) || learners.hasPendingRequest(nowMs, voters));
        long storedCount = voters.stream()
                .filter(voter -> hasStoredDepartureSlot(voter, storedSlot))
                .count();
        return !mustHandOver
                && storedCount >= decided.quorum()
                && voters.stream()
                        .allMatch(voter -> hasStoredDepartureSlot(voter, storedSlot) || !hasContact(nowMs, voter));
    }

    private boolean hasStoredDepartureSlot(String voter, long ownSlot) {
        return (voter.equals(self) ? ownSlot : contact.storedSlot(voter)) >= departureSlot;
    }

    /** The change that is due now, or null. */
    VoterChange dueChange(double nowMs, Decision decided) {
        for (String learner : learners.caughtUp(nowMs, decided.voters())) {
            VoterChange change = changeFor(nowMs, decided, learner);
            if (change != null) {
                return change;
            }
        }
        return dueRemoval(nowMs, decided);
    }

    // A voter at the learner's address has lost its disk and thus its vote, so replacing it needs no second opinion,
    // and neither does this node's own leaving. Adding a vote beside a voter that may be dead would leave no tolerance
    // for the next loss.
    private VoterChange changeFor(double nowMs, Decision decided, String learner) {
        String replaced = decided.voters().stream()
                .filter(voter -> address(voter).equals(address(learner)))
                .findFirst()
                .orElseGet(() -> leavingOrFailed(nowMs, decided));
        if (replaced != null) {
            return new VoterChange.Exchange(replaced, learner);
        }
        return hasContactWithAll(nowMs, decided) ? new VoterChange.Add(learner) : null;
    }

    // With an even number of voters one failed voter is removed, since the rest has a quorum smaller by one. With an
    // odd number two failed ones are removed, one after the other. A leaving voter is removed whatever the number.
    private VoterChange dueRemoval(double nowMs, Decision decided) {
        if (!mayShrink(decided)) {
            return null;
        }
        int minFailed = decided.voters().size() % 2 == 0 ? 1 : 2;
        boolean isDue = leaving || failures.failed(nowMs, decided.voters()).size() >= minFailed;
        return isDue ? new VoterChange.Remove(leavingOrFailed(nowMs, decided)) : null;
    }

    private String leavingOrFailed(double nowMs, Decision decided) {
        if (leaving && decided.voters().contains(self)) {
            return self;
        }
        return failures.failed(nowMs, decided.voters()).stream().findFirst().orElse(null);
    }

    private boolean mayShrink(Decision decided) {
        return decided.voters().size() > MIN_VOTERS;
    }

    private boolean hasContactWithAll(double nowMs, Decision decided) {
        return decided.voters().stream().allMatch(voter -> hasContact(nowMs, voter));
    }

    private boolean hasContact(double nowMs, String voter) {
        return voter.equals(self) || contact.hasContact(nowMs, CONTACT_LIMIT_MS, voter);
    }
}
