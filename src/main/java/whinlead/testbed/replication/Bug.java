package whinlead.testbed.replication;

/** Faults that are planted, for a checker that finds nothing is worth nothing. */
public enum Bug {
    /** None. */
    NONE,
    /** An attempt is told to its caller before the group knows it. */
    ANSWER_BEFORE_COPY,
    /** A member that has lost its disk comes back as the one it was, and votes. */
    VOTE_AFTER_LOST_DISK,
    /** A member that stood still does not see it, and goes on telling what it was about to tell. */
    BLIND_TO_STANDING_STILL
}
