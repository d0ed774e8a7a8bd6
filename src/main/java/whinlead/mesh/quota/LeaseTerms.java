package whinlead.mesh.quota;

/** How long leases last, in milliseconds. */
public final class LeaseTerms {
    /**
     * A lease is valid for so long, by the sidecar's steady clock, from when the sidecar sent the report that it
     * answers. Longer, and a share that went with a machine is missed for longer; shorter, and a sidecar that is cut
     * off refuses sooner.
     */
    public static final double LEASE_MS = 6000;
    /**
     * A control node counts a lease for so long, by its own steady clock, from when it sent the grant, which is after
     * the report was sent. The two clocks may differ by a hundredth.
     */
    public static final double COUNTED_MS = LEASE_MS * 1.01;
    /** A control node grants only if a quorum has answered a question that left within this. */
    public static final double CONFIRMED_MS = 1000;
    /** After this, what a control node has granted that no longer votes is surely over. */
    public static final double SETTLED_MS = COUNTED_MS + CONFIRMED_MS + 200;

    private LeaseTerms() {}
}
