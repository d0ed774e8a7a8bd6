package whinlead.mesh.consensus;

import java.util.List;

/**
 * Monitors whether this control node is in contact with a quorum of the voters. Not safe for several threads; times in
 * milliseconds on this control node's steady clock.
 */
final class QuorumMonitor {
    /** An answer to a ping sent this long ago proves no contact now, in milliseconds. */
    private static final double CONTACT_LIMIT_MS = 1000;
    /**
     * After this long without contact with a quorum, operations end at once with an unknown outcome, in milliseconds.
     */
    private static final double LOST_LIMIT_MS = 500;

    private final String self;
    private final ContactTracker contact;
    /** Since when no quorum has been in contact; NaN while one is, infinite before the first update. */
    private double lostSinceMs = Double.NEGATIVE_INFINITY;

    private boolean lost;

    QuorumMonitor(String self, ContactTracker contact) {
        this.self = self;
        this.contact = contact;
    }

    /**
     * Whether more than half of the voters, counting this control node if it is one, have answered a ping sent less
     * than {@code withinMs} ago, and none of them knows a newer decision.
     */
    boolean hasContactWithQuorum(double nowMs, double withinMs, Decision decided) {
        if (decided == null) {
            return false;
        }
        List<String> reached = decided.voters().stream()
                .filter(voter -> voter.equals(self) || contact.hasContact(nowMs, withinMs, voter))
                .toList();
        return reached.size() >= decided.quorum()
                && reached.stream().allMatch(voter -> contact.storedSlot(voter) <= decided.slot());
    }

    /** Checks whether a quorum is in contact now. */
    void update(double nowMs, Decision decided) {
        if (decided == null || hasContactWithQuorum(nowMs, CONTACT_LIMIT_MS, decided)) {
            lostSinceMs = Double.NaN;
        } else if (Double.isNaN(lostSinceMs) || lostSinceMs == Double.NEGATIVE_INFINITY) {
            lostSinceMs = nowMs;
        }
        lost = nowMs - lostSinceMs > LOST_LIMIT_MS;
    }

    /**
     * Whether, as of the last update, contact with a quorum has been lost for so long that operations should not wait.
     */
    boolean isLost() {
        return lost;
    }
}
