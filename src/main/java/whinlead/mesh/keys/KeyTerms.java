package whinlead.mesh.keys;

/** Durations of key leases, in milliseconds, and the number of services that they are granted for. */
public final class KeyTerms {
    /**
     * Validity of a lease, by the sidecar's steady clock, from when the sidecar sent the report that the lease answers.
     * If it is longer, the keys of a lost machine are unavailable for longer; if it is shorter, endpoints lose their
     * keys when their sidecar is cut off from the control nodes or when the control nodes restart.
     */
    public static final double LEASE_MS = 8000;
    /**
     * How long the control node counts a lease, by its own steady clock, from when it sent the lease. The two clocks
     * may differ in rate by 1%.
     */
    public static final double COUNTED_MS = LEASE_MS * 1.01;
    /** Factor by which an endpoint's clock may be slow when it measures the duration of a grant. */
    public static final double ENDPOINT_CLOCK_FACTOR = 1.021;
    /**
     * Maximum duration of a grant to the endpoint, so that the keys of a crashed endpoint soon become free; the sidecar
     * extends the grant by itself while its lease lasts.
     */
    public static final double MAX_HOLD_MS = 4500;
    /** An endpoint's grant ends this long before the sidecar's lease, because the grant takes time to arrive. */
    public static final double GRANT_MARGIN_MS = 300;
    /** Interval between a sidecar's reports while nothing changes. */
    public static final double REPORT_INTERVAL_MS = 1000;

    /** Maximum number of sharded services in a configuration. */
    public static final int MAX_SERVICES = 1024;

    private KeyTerms() {}
}
