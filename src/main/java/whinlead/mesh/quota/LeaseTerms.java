package whinlead.mesh.quota;

/** Durations of quota leases, in milliseconds. */
public final class LeaseTerms {
    /**
     * Validity of a lease, by the sidecar's steady clock, from when the sidecar sent the report that the lease answers.
     * If it is longer, a share that was lost with a machine is unavailable for longer; if it is shorter, a sidecar that
     * is cut off refuses requests sooner.
     */
    public static final double LEASE_MS = 6000;
    /**
     * How long a control node counts a lease, by its own steady clock, from when it sent the grant, which is after the
     * report was sent. The two clocks may differ in rate by 1%.
     */
    public static final double COUNTED_MS = LEASE_MS * 1.01;
    /** A control node grants only if a quorum has answered a query that was sent within this time. */
    public static final double CONFIRMED_MS = 1000;
    /** After this time all leases of a control node that has lost its vote have certainly ended. */
    public static final double SETTLED_MS = COUNTED_MS + CONFIRMED_MS + 200;

    private LeaseTerms() {}
}
