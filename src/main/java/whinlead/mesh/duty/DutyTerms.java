package whinlead.mesh.duty;

/** How long votes for the holder of a duty are valid, in milliseconds. */
public final class DutyTerms {
    /**
     * How long a vote is valid by the candidate's steady clock, from when it was requested. A longer term delays the
     * replacement of a lost holder; a shorter one ends when its process pauses.
     */
    public static final double TERM_MS = 1800;
    /**
     * How long a voter retains its vote by its own steady clock. The rates of the two clocks may differ by 1 percent.
     */
    public static final double VOTE_RETAINED_MS = TERM_MS * 1.01;
    /** How often a holder renews its votes. */
    public static final double RENEW_INTERVAL_MS = 400;
    /** The holder acts only if a quorum has confirmed within this time that there is no newer decision on who votes. */
    public static final double CONFIRMATION_VALID_MS = 1000;
    /**
     * After this time a holder that was elected by the voters of an earlier decision certainly no longer holds the
     * duty.
     */
    public static final double SETTLE_TIME_MS = VOTE_RETAINED_MS + CONFIRMATION_VALID_MS + 200;

    private DutyTerms() {}
}
