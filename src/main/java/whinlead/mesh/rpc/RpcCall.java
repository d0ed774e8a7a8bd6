package whinlead.mesh.rpc;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A decoded call of an endpoint or an operator. Whoever runs it sends the response. */
public sealed interface RpcCall {
    /** The longest id of an endpoint, in characters. */
    int MAX_ENDPOINT_ID_LENGTH = 256;

    /** An endpoint sends a heartbeat. */
    record Heartbeat(String endpoint, EndpointStatus status) implements RpcCall {}

    /** The content of a heartbeat. */
    record EndpointStatus(
            @JsonProperty("Target") String target,
            @JsonProperty("Zone") String zone,
            @JsonProperty("Capacity") int capacity,
            @JsonProperty("Phase") String phase,
            @JsonProperty("WarmupS") double warmupS,
            @JsonProperty("CallSeq") long callSeq) {
        private static final String DRAINING = "draining";

        /** Whether the endpoint announces that it leaves. */
        public boolean isDraining() {
            return DRAINING.equals(phase);
        }
    }

    /** An endpoint leaves. */
    record Depart(String endpoint) implements RpcCall {}

    /** An operator replaces the configuration; {@code builtOn} is the version that the new one is based on. */
    record Replace(long builtOn, byte[] body) implements RpcCall {}

    /** An operator or an endpoint reads the configuration. */
    record Read() implements RpcCall {}
}
