package whinlead.mesh.consensus;

/** An operation that waits at this control node until the one before it has ended. */
sealed interface PendingOperation {
    /**
     * A configuration change requested by an operator.
     *
     * @param call the caller's number for it
     * @param version of the new configuration
     * @param builtOn the version that the change builds on
     * @param digest of the configuration as it was sent
     * @param body the new configuration, deflated
     */
    record Replace(long call, long version, long builtOn, String digest, byte[] body) implements PendingOperation {}

    /** A linearizable read, by the caller's number. */
    record Read(long call) implements PendingOperation {}

    /** Completes a vote whose decision was never announced. */
    record FinishVote() implements PendingOperation {}
}
