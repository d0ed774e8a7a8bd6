package whinlead.mesh.control;

/** The outcome of a scenario that {@link KeyMesh} ran. */
final class KeyOutcome {
    /** The first time that two endpoints held one key, described; null if there was none. */
    String violation;
    /** The first time that a key's new owner had no higher fence; null if there was none. */
    String fenceViolation;
    /** Checks in which a key was served, and all checks. */
    long servedChecks;

    long totalChecks;
    /** Unserved keys in the last checks, after the faults have ended. */
    int unservedAtEnd;
}
