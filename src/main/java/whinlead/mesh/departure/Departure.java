package whinlead.mesh.departure;

import java.util.Objects;

/**
 * An endpoint has announced that it leaves, as draining or as gone.
 *
 * @param node of the sidecar beside the endpoint, ADDRESS:PORT
 * @param endpoint id of the endpoint's life, which is never used again
 */
public record Departure(String node, String endpoint) {
    /** Checks that no field is missing. */
    public Departure {
        Objects.requireNonNull(node);
        Objects.requireNonNull(endpoint);
    }
}
