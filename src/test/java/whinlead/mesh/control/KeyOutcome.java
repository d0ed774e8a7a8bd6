package whinlead.mesh.control;

/** What came of a day that {@link KeyMesh} played. */
final class KeyOutcome {
    /** The first time that two endpoints held one key, in words; null if there was none. */
    String violation;
    /** The first time that a key's new owner had no higher fence; null if there was none. */
    String fenceViolation;
    /** Checks in which a key was served, and all. */
    long served;

    long checked;
    /** Of the last checks, after the calm: keys that nobody served. */
    int unservedAtEnd;
}
