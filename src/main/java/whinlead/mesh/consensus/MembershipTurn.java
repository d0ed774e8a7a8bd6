package whinlead.mesh.consensus;

/**
 * Shares the ballots of a control node between the operations that wait and the changes of voters that are due: no
 * change waits for more than a few operations, and none follows another without an operation in between where one
 * waits. Not safe for several threads.
 */
final class MembershipTurn {
    /** So many operations, at most, end between two changes of voters that are due. */
    static final int OPERATIONS_BETWEEN_CHANGES = 1;

    private int operations = OPERATIONS_BETWEEN_CHANGES;

    /** An operation has ended. */
    void operationEnded() {
        operations = Math.min(OPERATIONS_BETWEEN_CHANGES, operations + 1);
    }

    /** A change of voters was agreed on. */
    void changed() {
        operations = 0;
    }

    /** Whether a change comes before the operations that wait. */
    boolean isNext() {
        return operations >= OPERATIONS_BETWEEN_CHANGES;
    }
}
