package whinlead.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import whinlead.Contract;
import whinlead.SettingsReader;
import whinlead.membership.EndpointList;

/**
 * The start configuration of a sidecar.
 *
 * @param lastKnownEndpoints the last known endpoints, possibly out of date; null if there is no such list
 * @param connectTimeoutMs time after which a connection attempt that has not succeeded has failed
 * @param endpointIdleMs time after which an endpoint closes an idle connection
 * @param maxDescriptors number of file descriptors that the process may have open
 */
record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long parseSeed,
        Contract.Settings settings,
        EndpointList lastKnownEndpoints,
        int connectTimeoutMs,
        double endpointIdleMs,
        int maxDescriptors) {

    private static final int HEX_RADIX = 16;

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static Config read(String path, ObjectMapper mapper) {
        try {
            return parse(Files.readString(Path.of(path)), mapper);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    /**
     * Parses the configuration.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static Config parse(String text, ObjectMapper mapper) {
        JsonNode json;
        try {
            json = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
        Map<String, String> pairs = new HashMap<>();
        flattenJson("", json.path("settings"), pairs);
        JsonNode limits = json.path("settings").path("limits");
        JsonNode known = json.path("known");
        return new Config(
                EndpointList.address(json.path("listen").asText()),
                EndpointList.address(json.path("discovery").asText()),
                parseSeed(json.path("seed").asText()),
                new SettingsReader(pairs).settings(),
                known.isObject() ? EndpointList.parse(known) : null,
                (int) positiveNumber(limits, "connect_timeout"),
                positiveNumber(limits, "conn_idle"),
                (int) positiveNumber(json.path("limits"), "sockets"));
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed '" + text + "' is not a hexadecimal number", e);
        }
    }

    private static double positiveNumber(JsonNode limits, String field) {
        double value = limits.path(field).asDouble();
        if (!(value >= 1 && value <= Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("limits." + field + " is missing or out of range");
        }
        return value;
    }

    /** Converts nested JSON to the simulator's flat keys. A list has a count and numbered items. */
    private static void flattenJson(String path, JsonNode node, Map<String, String> pairs) {
        if (node.isObject()) {
            node.properties()
                    .forEach(e ->
                            flattenJson(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray()) {
            pairs.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flattenJson(path + "." + i, node.get(i), pairs);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }
}
