package whinlead.mesh.rpc;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A call of an endpoint or an operator, decoded; whoever runs it answers it. */
public sealed interface RpcCall {
    /** An endpoint sends a heartbeat. */
    record Heartbeat(String endpoint, EndpointStatus status) implements RpcCall {}

    /** What a heartbeat says. */
    record EndpointStatus(
            @JsonProperty("Target") String target,
            @JsonProperty("Zone") String zone,
            @JsonProperty("Capacity") int capacity,
            @JsonProperty("Phase") String phase,
            @JsonProperty("WarmupS") double warmupS,
            @JsonProperty("CallSeq") long callSeq) {}

    /** An endpoint leaves. */
    record Depart(String endpoint) implements RpcCall {}

    /** An operator sends a configuration; {@code builtOn} is the version that it builds on. */
    record Replace(long builtOn, byte[] body) implements RpcCall {}

    /** Someone reads the configuration. */
    record Read() implements RpcCall {}
}
