package whinlead.mesh.registry;

import java.util.Objects;

/**
 * What one sidecar says of itself and the endpoint beside it. Of two, the one of the later life, and in one life that
 * with the higher number, holds: whoever merges them in whatever order ends with the same.
 *
 * @param node where the sidecar takes requests for its endpoint, ADDRESS:PORT
 * @param life of the sidecar, rises with each start
 * @param seq counts what it said in this life
 * @param endpoint id of the endpoint's life; empty where none is known
 * @param target the endpoint's service
 * @param capacity requests that the endpoint works on at a time
 * @param warmMs how long the endpoint stays slow from when this was said, in milliseconds
 */
public record EndpointRecord(
        String node,
        long life,
        long seq,
        String zone,
        String endpoint,
        String target,
        Phase phase,
        int capacity,
        int warmMs) {
    /** What may be sent to it. */
    public enum Phase {
        /** New requests are welcome. */
        SERVING,
        /** None that have not been sent yet. */
        DRAINING,
        /** The sidecar has left, or nothing was heard of it for long. */
        GONE
    }

    /** Checks that nothing is missing. */
    public EndpointRecord {
        Objects.requireNonNull(node);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(target);
        Objects.requireNonNull(phase);
    }

    /** Whether this holds against the other. */
    public boolean isNewerThan(EndpointRecord other) {
        return other == null || life > other.life || life == other.life && seq > other.seq;
    }

    /** Whether requests may be sent there. */
    public boolean acceptsRequests() {
        return phase == Phase.SERVING && !endpoint.isEmpty();
    }
}
