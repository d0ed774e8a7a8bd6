package whinlead.mesh.consensus;

import java.util.List;

/**
 * Watches whether this control node is in contact with a quorum of the voters. Not safe for several threads; times in
 * milliseconds on this control node's steady clock.
 */
final class QuorumMonitor {
    /** An answer to a question that left so many milliseconds ago tells nothing of whom it reaches now. */
    private static final double CONTACT_LIMIT = 1000;
    /** Without contact with a quorum for so long, operations end unclear at once, in milliseconds. */
    private static final double LOST_LIMIT = 500;

    private final String self;
    private final ContactTracker contact;
    /** Since when no quorum is in contact; NaN while one is, infinite before the first look. */
    private double lostSince = Double.NEGATIVE_INFINITY;

    private boolean lost;

    QuorumMonitor(String self, ContactTracker contact) {
        this.self = self;
        this.contact = contact;
    }

    /**
     * Whether more than half of the voters, this control node with them if it is one, have answered a question that
     * left within so many milliseconds, and none of those knows a newer decision.
     */
    boolean reachesQuorum(double now, double within, Decision decided) {
        if (decided == null) {
            return false;
        }
        List<String> reached = decided.voters().stream()
                .filter(voter -> voter.equals(self) || contact.reached(now, within, voter))
                .toList();
        return reached.size() >= decided.quorum()
                && reached.stream().allMatch(voter -> contact.storedSlot(voter) <= decided.slot());
    }

    /** Looks whether a quorum is in contact now. */
    void watch(double now, Decision decided) {
        if (decided == null || reachesQuorum(now, CONTACT_LIMIT, decided)) {
            lostSince = Double.NaN;
        } else if (Double.isNaN(lostSince) || lostSince == Double.NEGATIVE_INFINITY) {
            lostSince = now;
        }
        lost = now - lostSince > LOST_LIMIT;
    }

    /** Whether, as of the last look, no quorum has been in contact for so long that no operation is worth the wait. */
    boolean isLost() {
        return lost;
    }
}
