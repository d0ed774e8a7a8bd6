package whinlead.mesh.consensus;

/**
 * Shares a control node's ballots between waiting operations and due changes of voters: a change waits for at most a
 * few operations, and no change directly follows another while an operation waits. Not safe for several threads.
 */
final class MembershipTurn {
    /** The number of operations that end between two due changes of voters, at most. */
    static final int OPERATIONS_BETWEEN_CHANGES = 1;

    private int operationsSinceChange = OPERATIONS_BETWEEN_CHANGES;

    /** An operation has ended. */
    void operationEnded() {
        operationsSinceChange = Math.min(OPERATIONS_BETWEEN_CHANGES, operationsSinceChange + 1);
    }

    /** A change of voters was decided. */
    void votersChanged() {
        operationsSinceChange = 0;
    }

    /** Whether a change goes before the waiting operations. */
    boolean isNext() {
        return operationsSinceChange >= OPERATIONS_BETWEEN_CHANGES;
    }
}
