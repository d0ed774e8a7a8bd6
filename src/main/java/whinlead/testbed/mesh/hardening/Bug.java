package whinlead.testbed.mesh.hardening;

/** A fault that is planted in the driver around the consensus nodes, to see that schedules find it. */
public enum Bug {
    /** None. */
    NONE(0),
    /** Contact is counted from when an answer arrives, and any message is one. */
    CONTACT_FROM_ARRIVAL(1),
    /** A sidecar begins with what any control node has, in touch or not. */
    BEGINS_UNCONFIRMED(1),
    /** A call is acknowledged when a majority has promised. */
    ACKNOWLEDGES_ON_PROMISE(2),
    /** Of what was taken, decisions that come from others keep the newest only. */
    FORGETS_TAKEN(2),
    /** A call is refused by what its control node knows, which may be old. */
    REFUSES_BY_LOCAL(2),
    /** A control node votes on under its old name after its disk was lost. */
    VOTES_AFTER_WIPE(3),
    /** A control node says what it has not synced. */
    UNSYNCED(3),
    /** A dead control node counts as heard of, so learners are seated beside it. */
    SEATS_BESIDE_DEAD(3),
    /** A restarted control node reads the entry before its last. */
    RESTARTS_OLDER(4),
    /** A control node takes any decision for the newest. */
    LEARNS_OLDER(4),
    /** A control node takes its own word for everyone's: whom it can't reach, it removes. */
    REMOVES_BY_ONE_WORD(6);

    private final int point;

    Bug(int point) {
        this.point = point;
    }

    /** The point whose schedules are to find it; 0 for none. */
    public int point() {
        return point;
    }
}
