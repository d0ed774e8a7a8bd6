package whinlead.mesh.keys;

/** How long leases of keys last, in milliseconds. */
public final class KeyTerms {
    /**
     * A lease is valid for so long, by the sidecar's steady clock, from when it sent the report that the lease answers.
     * Longer, and keys of a machine that is lost are missed for longer; shorter, and a sidecar that is cut off from the
     * core, or a core that starts again, leaves endpoints without keys.
     */
    public static final double LEASE_MS = 8000;
    /**
     * The control node counts a lease for so long, by its own steady clock, from when it sent it. The two clocks may
     * differ by a hundredth.
     */
    public static final double COUNTED_MS = LEASE_MS * 1.01;
    /** By how much an endpoint's clock may be slow as it counts how long it holds keys. */
    public static final double ENDPOINT_CLOCK = 1.021;
    /**
     * The endpoint is granted keys for so long at most, so that those of one that has crashed are free again soon; the
     * sidecar prolongs that by itself while its lease lasts.
     */
    public static final double HOLD_MS = 4500;
    /** An endpoint's hold ends so long before the sidecar's lease, for the grant takes its time to arrive. */
    public static final double GRANT_MARGIN_MS = 300;
    /** How often a sidecar reports while nothing happens. */
    public static final double REPORT_MS = 1000;

    private KeyTerms() {}
}
