package whinlead.mesh.duty;

/**
 * What a voter has on disk: for whom it voted last.
 *
 * @param epoch of that vote; 0 if it never voted
 * @param holder the control node that it voted for; empty if it never voted
 */
public record DutyPromise(long epoch, String holder) {
    /** No vote yet. */
    public static final DutyPromise NONE = new DutyPromise(0, "");

    /** Checks that nothing is missing. */
    public DutyPromise {
        if (epoch < 0 || holder == null) {
            throw new IllegalArgumentException("a vote of epoch " + epoch + " for " + holder);
        }
    }
}
