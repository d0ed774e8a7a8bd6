package whinlead.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Set;
import whinlead.admit.Client;
import whinlead.admit.Gate;

/**
 * What clients may have open, as an operator's file says ({@code docs/admission.md}). Unknown fields are errors: a
 * misspelt cap would be no cap.
 *
 * @param clients limits by client
 * @param moves whether descriptors move between clients and endpoints as the need does
 */
record AdmissionConfig(Gate.Limits clients, boolean moves) {
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
    /** No more descriptors than the platform allows could be used. */
    private static final int MAX_CONNECTIONS = 1024;

    private static final int MAX_PER_SECOND = 1_000_000;
    /** Some 200 bytes each. */
    private static final int REMEMBERED = 4096;

    private static final int MAX_REMEMBERED = 65_536;
    private static final int HALF_LIFE_MS = 60_000;
    private static final int MAX_HALF_LIFE_MS = 86_400_000;

    /** No limits by client, and shares that stay: what holds where no file says otherwise. */
    static AdmissionConfig usual() {
        return new AdmissionConfig(Gate.Limits.none(), false);
    }

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static AdmissionConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.text(path), mapper);
    }

    /**
     * Reads its text.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static AdmissionConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.object(text, mapper, "admission", FIELDS);
        JsonNode moves = json.path("move_descriptors");
        if (!moves.isMissingNode() && !moves.isBoolean()) {
            throw new IllegalArgumentException("admission.move_descriptors is neither true nor false");
        }
        int connections = whole(json, "connections", MAX_CONNECTIONS, 1, MAX_CONNECTIONS);
        int known = whole(json, "connections_known", connections, 1, MAX_CONNECTIONS);
        if (known < connections) {
            throw new IllegalArgumentException("admission.connections_known is under connections");
        }
        int perSecond = whole(json, "new_per_second", MAX_PER_SECOND, 1, MAX_PER_SECOND);
        return new AdmissionConfig(
                new Gate.Limits(
                        new Client.Prefixes(
                                whole(json, "ipv4_prefix", IPV4_PREFIX, 0, IPV4_PREFIX),
                                whole(json, "ipv6_prefix", IPV6_PREFIX, 0, MAX_IPV6_PREFIX)),
                        connections,
                        known,
                        perSecond,
                        whole(json, "burst", perSecond, 1, MAX_PER_SECOND),
                        whole(json, "reserve", 0, 0, MAX_CONNECTIONS),
                        whole(json, "remembered", REMEMBERED, 1, MAX_REMEMBERED),
                        whole(json, "known_half_life_ms", HALF_LIFE_MS, 1, MAX_HALF_LIFE_MS)),
                moves.asBoolean(false));
    }

    private static int whole(JsonNode json, String field, int absent, int least, int most) {
        return OperatorFile.whole(json, "admission", field, absent, least, most);
    }
}
