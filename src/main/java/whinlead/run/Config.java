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
 * Everything a sidecar is told at start.
 *
 * @param known the endpoints as last known, perhaps out of date; null if there is no such list
 * @param connectTimeout milliseconds after which a connection that is not up has failed
 * @param endpointIdle milliseconds after which an endpoint closes an idle connection
 * @param sockets file descriptors that the process may hold
 */
record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        Contract.Settings settings,
        EndpointList known,
        int connectTimeout,
        double endpointIdle,
        int sockets) {

    private static final int HEX = 16;

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static Config read(String path, ObjectMapper mapper) {
        try {
            return parse(Files.readString(Path.of(path)), mapper);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    /**
     * Reads the configuration.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static Config parse(String text, ObjectMapper mapper) {
        JsonNode json;
        try {
            json = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.path("settings"), pairs);
        JsonNode limits = json.path("settings").path("limits");
        JsonNode known = json.path("known");
        return new Config(
                EndpointList.address(json.path("listen").asText()),
                EndpointList.address(json.path("discovery").asText()),
                seed(json.path("seed").asText()),
                new SettingsReader(pairs).settings(),
                known.isObject() ? EndpointList.parse(known) : null,
                (int) positive(limits, "connect_timeout"),
                positive(limits, "conn_idle"),
                (int) positive(json.path("limits"), "sockets"));
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed '" + text + "' is not a hexadecimal number", e);
        }
    }

    private static double positive(JsonNode limits, String field) {
        double value = limits.path(field).asDouble();
        if (!(value >= 1 && value <= Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("limits." + field + " is missing or out of range");
        }
        return value;
    }

    /** Nested JSON to the simulator's paths, by its rules: a list of objects has a count and numbered items. */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        if (node.isObject()) {
            node.properties()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray()) {
            pairs.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), pairs);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }
}
