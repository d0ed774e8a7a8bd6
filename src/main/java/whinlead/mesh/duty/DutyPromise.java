package whinlead.mesh.duty;

/**
 * A voter's persistent state: its last vote.
 *
 * @param epoch of that vote; 0 if it never voted
 * @param holder the control node that it voted for; empty if it never voted
 */
public record DutyPromise(long epoch, String holder) {
    /** No vote yet. */
    public static final DutyPromise NONE = new DutyPromise(0, "");

    /** Rejects negative epochs and a missing holder. */
    public DutyPromise {
        if (epoch < 0 || holder == null) {
            throw new IllegalArgumentException("a vote of epoch " + epoch + " for " + holder);
        }
    }
}
