package whinlead.mesh.duty;

/** How long votes for the holder of a duty last, in milliseconds. */
public final class DutyTerms {
    /**
     * A vote is valid for so long, by the candidate's steady clock, from when it asked. Longer, and a holder that is
     * lost is missed for longer; shorter, and a pause of its process ends its term.
     */
    public static final double TERM_MS = 1800;
    /** A voter keeps its vote for so long, by its own steady clock. The two clocks may differ by a hundredth. */
    public static final double KEPT_MS = TERM_MS * 1.01;
    /** How often a holder asks for its votes again. */
    public static final double RENEW_MS = 400;
    /** The holder acts only if a quorum has confirmed within this that there is no newer decision on who votes. */
    public static final double CONFIRMED_MS = 1000;
    /** After this, a holder that was elected by voters of an earlier decision surely holds the duty no more. */
    public static final double SETTLED_MS = KEPT_MS + CONFIRMED_MS + 200;

    private DutyTerms() {}
}
