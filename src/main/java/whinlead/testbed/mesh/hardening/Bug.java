package whinlead.testbed.mesh.hardening;

/** A fault planted in the driver around the consensus nodes to verify that schedules detect it. */
public enum Bug {
    /** None. */
    NONE(0),
    /** Contact is dated from an answer's arrival, and any message counts as an answer. */
    CONTACT_FROM_ARRIVAL(1),
    /** A sidecar starts with the configuration of any control node, in contact with a majority or not. */
    BEGINS_UNCONFIRMED(1),
    /** A call is acknowledged when a majority has promised. */
    ACKNOWLEDGES_ON_PROMISE(2),
    /** Decisions received from others retain only the newest of the accepted changes. */
    FORGETS_TAKEN(2),
    /** A call is refused on the control node's local state, which may be old. */
    REFUSES_BY_LOCAL(2),
    /** A control node continues to vote under its old id after losing its disk. */
    VOTES_AFTER_WIPE(3),
    /** A control node sends what it has not synced. */
    UNSYNCED(3),
    /** A dead control node counts as responding, so learners become voters while it is still a voter. */
    SEATS_BESIDE_DEAD(3),
    /** A restarted control node reads the entry before the last one. */
    RESTARTS_OLDER(4),
    /** A control node treats any decision as the newest. */
    LEARNS_OLDER(4),
    /** A control node treats its own view as everyone's and removes voters that it alone can't reach. */
    REMOVES_BY_ONE_WORD(6);

    private final int point;

    Bug(int point) {
        this.point = point;
    }

    /** The number of the point whose schedules must detect this fault; 0 for none. */
    public int point() {
        return point;
    }
}
