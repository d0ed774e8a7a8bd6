package whinlead.mesh.registry;

import java.util.Objects;

/**
 * A sidecar's record of itself and its local endpoint. Of two records of a node, the one with the later life wins, and
 * within one life the one with the higher sequence number, so merging in any order has the same result.
 *
 * @param node address at which the sidecar takes requests for its endpoint, ADDRESS:PORT
 * @param life of the sidecar, increases with each start
 * @param seq counts the records of this life
 * @param endpoint id of the endpoint's life; empty if none is known
 * @param target the endpoint's service
 * @param capacity requests that the endpoint processes concurrently
 * @param warmMs how long the endpoint stays slow after this record was made, in milliseconds
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
    /** Which requests may be sent to the endpoint. */
    public enum Phase {
        /** New requests are accepted. */
        SERVING,
        /** No requests that have not been sent yet. */
        DRAINING,
        /** The sidecar has left, or has been silent for long. */
        GONE
    }

    /** Checks that no field is missing. */
    public EndpointRecord {
        Objects.requireNonNull(node);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(endpoint);
        Objects.requireNonNull(target);
        Objects.requireNonNull(phase);
    }

    /** Whether this record replaces the other. */
    public boolean isNewerThan(EndpointRecord other) {
        return other == null || life > other.life || life == other.life && seq > other.seq;
    }

    /** Whether requests may be sent to the endpoint. */
    public boolean acceptsRequests() {
        return phase == Phase.SERVING && !endpoint.isEmpty();
    }
}
