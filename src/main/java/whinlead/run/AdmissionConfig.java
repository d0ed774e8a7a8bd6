package whinlead.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Set;
import whinlead.admit.Client;
import whinlead.admit.Gate;

/**
 * Connection limits for clients, read from an operator's file ({@code docs/admission.md}). Unknown fields are errors: a
 * misspelt limit would have no effect.
 *
 * @param clientLimits limits for each client
 * @param moveDescriptors whether descriptors move between clients and endpoints according to demand
 */
record AdmissionConfig(Gate.Limits clientLimits, boolean moveDescriptors) {
    private static final Set<String> FIELDS = Set.of(
            "ipv4_prefix",
            "ipv6_prefix",
            "connections",
            "connections_known",
            "new_per_second",
            "burst",
            "reserve",
            "remembered",
            "known_half_life_ms",
            "move_descriptors");
    private static final int IPV4_PREFIX = 32;
    private static final int IPV6_PREFIX = 64;
    private static final int MAX_IPV6_PREFIX = 128;
    /** The platform allows a process 1,024 descriptors. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int MAX_PER_SECOND = 1_000_000;
    /** Each remembered client takes about 200 bytes. */
    private static final int DEFAULT_REMEMBERED = 4096;

    private static final int MAX_REMEMBERED = 65_536;
    private static final int DEFAULT_HALF_LIFE_MS = 60_000;
    private static final int MAX_HALF_LIFE_MS = 86_400_000;

    /** The configuration without a file: no limits per client and fixed shares of descriptors. */
    static AdmissionConfig defaults() {
        return new AdmissionConfig(Gate.Limits.none(), false);
    }

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static AdmissionConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.readText(path), mapper);
    }

    /**
     * Parses the text of the file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static AdmissionConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.parseObject(text, mapper, "admission", FIELDS);
        JsonNode moveDescriptors = json.path("move_descriptors");
        if (!moveDescriptors.isMissingNode() && !moveDescriptors.isBoolean()) {
            throw new IllegalArgumentException("admission.move_descriptors is neither true nor false");
        }
        int connections = wholeNumber(json, "connections", MAX_CONNECTIONS, 1, MAX_CONNECTIONS);
        int connectionsKnown = wholeNumber(json, "connections_known", connections, 1, MAX_CONNECTIONS);
        if (connectionsKnown < connections) {
            throw new IllegalArgumentException("admission.connections_known is under connections");
        }
        int newPerSecond = wholeNumber(json, "new_per_second", MAX_PER_SECOND, 1, MAX_PER_SECOND);
        return new AdmissionConfig(
                new Gate.Limits(
                        new Client.Prefixes(
                                wholeNumber(json, "ipv4_prefix", IPV4_PREFIX, 0, IPV4_PREFIX),
                                wholeNumber(json, "ipv6_prefix", IPV6_PREFIX, 0, MAX_IPV6_PREFIX)),
                        connections,
                        connectionsKnown,
                        newPerSecond,
                        wholeNumber(json, "burst", newPerSecond, 1, MAX_PER_SECOND),
                        wholeNumber(json, "reserve", 0, 0, MAX_CONNECTIONS),
                        wholeNumber(json, "remembered", DEFAULT_REMEMBERED, 1, MAX_REMEMBERED),
                        wholeNumber(json, "known_half_life_ms", DEFAULT_HALF_LIFE_MS, 1, MAX_HALF_LIFE_MS)),
                moveDescriptors.asBoolean(false));
    }

    private static int wholeNumber(JsonNode json, String field, int defaultValue, int min, int max) {
        return OperatorFile.wholeNumber(json, "admission", field, defaultValue, min, max);
    }
}
