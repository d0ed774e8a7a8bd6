package whinlead.mesh.consensus;

/** An operation that waits at this control node until the one before it has ended. */
sealed interface PendingOperation {
    /**
     * A configuration change that an operator ordered.
     *
     * @param call the caller's number for it
     * @param version of the new configuration
     * @param builtOn the version that the change was made on
     * @param digest of what was sent
     * @param body the new configuration
     */
    record Replace(long call, long version, long builtOn, String digest, byte[] body) implements PendingOperation {}

    /** A linearizable read, by the caller's number. */
    record Read(long call) implements PendingOperation {}

    /** Brings a vote that was never told decided to its end. */
    record FinishVote() implements PendingOperation {}
}
