package whinlead.mesh.consensus;

import java.util.List;

/**
 * Which voters the next decision has: one voter more, less or exchanged for another at a time, so that the quorums
 * before and after share a member. What is due is told anew from the newest decision, the newest words of learners and
 * the failure detector each time it is asked for, and binds nobody until it is proposed. Sends nothing. Not safe for
 * several threads; times in milliseconds on this control node's steady clock.
 */
final class Membership {
    /** So many voters are not made fewer: two would keep what is agreed on no third disk. */
    private static final int MIN_VOTERS = 3;
    /** A voter whose answered question left so many milliseconds ago may be out of reach now. */
    private static final double CONTACT_LIMIT = 1000;

    private final String self;
    private final ContactTracker contact;
    private final FailureDetector failures;
    private final Learners learners = new Learners();
    private boolean leaving;
    /** The slot that must outlast this control node's end. */
    private long departureSlot = -1;

    private boolean votes;

    Membership(String self, ContactTracker contact, FailureDetector failures) {
        this.self = self;
        this.contact = contact;
        this.failures = failures;
    }

    /** Where an id's control node can be found: the address in it. */
    static String address(String id) {
        int mark = id.indexOf('#');
        return mark < 0 ? id : id.substring(0, mark);
    }

    /** This control node is to give up its vote. */
    void leave(Decision decided) {
        leaving = true;
        departureSlot = decided == null ? -1 : decided.slot();
    }

    /** Whether {@link #leave} was called. */
    boolean isLeaving() {
        return leaving;
    }

    /** This control node has learned a decision. */
    void learned(double now, Decision decision) {
        learners.learned(now, decision.slot());
        boolean stays = decision.voters().contains(self);
        if (votes && !stays) {
            departureSlot = decision.slot();
        }
        votes = stays;
    }

    /** A control node without a vote asks for one, and has this slot on disk. */
    void requested(double now, String learner, long slot) {
        learners.requested(now, learner, slot);
    }

    /**
     * Whether this control node, told to leave, may end: it has no vote, or need not give it up, and what removed it
     * (or was the newest as it was told to leave) is on the disks of a quorum, and of all voters in contact. What is
     * decided later is on a quorum's disks without this control node's help, so in a stream of decisions it waits for
     * none that comes after.
     */
    boolean mayEnd(double now, Decision decided, long storedSlot) {
        List<String> voters = decided.voters();
        boolean handsOver = voters.contains(self) && (mayShrink(decided) || learners.anyWaits(now, voters));
        long holders = voters.stream()
                .filter(voter -> holdsDepartureSlot(voter, storedSlot))
                .count();
        return !handsOver
                && holders >= decided.quorum()
                && voters.stream().allMatch(voter -> holdsDepartureSlot(voter, storedSlot) || !isReached(now, voter));
    }

    private boolean holdsDepartureSlot(String voter, long ownSlot) {
        return (voter.equals(self) ? ownSlot : contact.storedSlot(voter)) >= departureSlot;
    }

    /** The change that is due now, or null. */
    VoterChange due(double now, Decision decided) {
        for (String learner : learners.caughtUp(now, decided.voters())) {
            VoterChange change = voteFor(now, decided, learner);
            if (change != null) {
                return change;
            }
        }
        return removal(now, decided);
    }

    // One at the same address has lost its disk, and with it its vote: that needs no second opinion, nor does
    // one's own leaving. A vote beside one that may be dead would leave no room for the next loss.
    private VoterChange voteFor(double now, Decision decided, String learner) {
        String replaced = decided.voters().stream()
                .filter(each -> address(each).equals(address(learner)))
                .findFirst()
                .orElseGet(() -> leavingOrFailed(now, decided));
        if (replaced != null) {
            return new VoterChange.Exchange(replaced, learner);
        }
        return allReached(now, decided) ? new VoterChange.Add(learner) : null;
    }

    // With an even number of voters one that has failed is removed: the rest has the same quorum less one. So
    // are two of an odd number, one after the other. One that leaves goes out whatever the number.
    private VoterChange removal(double now, Decision decided) {
        if (!mayShrink(decided)) {
            return null;
        }
        int failedLeast = decided.voters().size() % 2 == 0 ? 1 : 2;
        boolean removes = leaving || failures.failed(now, decided.voters()).size() >= failedLeast;
        return removes ? new VoterChange.Remove(leavingOrFailed(now, decided)) : null;
    }

    private String leavingOrFailed(double now, Decision decided) {
        if (leaving && decided.voters().contains(self)) {
            return self;
        }
        return failures.failed(now, decided.voters()).stream().findFirst().orElse(null);
    }

    private boolean mayShrink(Decision decided) {
        return decided.voters().size() > MIN_VOTERS;
    }

    private boolean allReached(double now, Decision decided) {
        return decided.voters().stream().allMatch(voter -> isReached(now, voter));
    }

    private boolean isReached(double now, String voter) {
        return voter.equals(self) || contact.reached(now, CONTACT_LIMIT, voter);
    }
}
