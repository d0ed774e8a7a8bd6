package whinlead.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import whinlead.consult.Bounds;
import whinlead.front.consult.ConsultRequest.Field;
import whinlead.membership.EndpointList;

/**
 * The configuration of the external processor ({@code docs/processor.md}). Unknown fields are errors: a misspelt limit
 * would have no effect.
 *
 * @param http listener of the consult API, or null
 * @param spop listener of the agent for HAProxy, or null
 * @param envoy listener for Envoy's external processing, or null
 * @param streamsPerConnection maximum number of concurrent requests on a connection from Envoy
 * @param headerNames names of callers' headers that differ from the defaults of the fronts
 * @param defaultClass class of a request that names none; empty if each request has to name one
 */
record ProcessorConfig(
        Listener http,
        Listener spop,
        Listener envoy,
        int streamsPerConnection,
        Map<Field, String> headerNames,
        String defaultClass,
        Bounds bounds) {
    /** The address of a front and its maximum number of concurrent connections from callers. */
    record Listener(InetSocketAddress address, int maxConnections) {}

    private static final Set<String> FIELDS = Set.of("http", "spop", "envoy", "headers", "class", "bounds");
    private static final int DEFAULT_CONNECTIONS = 32;
    /** Of the 1,024 descriptors that the platform allows, 832 have another use. */
    private static final int MAX_CONNECTIONS = 64;

    private static final int DEFAULT_STREAMS = 1000;
    private static final int MAX_STREAMS = 20_000;
    private static final int MAX_HEADER_NAME_LENGTH = 64;
    /** The fields whose header names are configurable; the others are internal to this program and the proxy. */
    private static final Set<Field> CONFIGURABLE_FIELDS =
            EnumSet.of(Field.ID, Field.CLASS, Field.TENANT, Field.TIMEOUT, Field.REPEAT, Field.NOT_STARTED, Field.LOAD);

    private static final int DEFAULT_OPEN = 2000;
    private static final int MAX_OPEN = 20_000;
    private static final int DEFAULT_OPEN_PER_CALLER = 1000;
    private static final int DEFAULT_REMEMBERED = 10_000;
    private static final int MAX_REMEMBERED = 100_000;
    private static final int DEFAULT_REMEMBER_MS = 60_000;
    private static final int MAX_REMEMBER_MS = 3_600_000;
    private static final int DEFAULT_PICK_UP_MS = 250;
    private static final int MAX_PICK_UP_MS = 10_000;

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static ProcessorConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.readText(path), mapper);
    }

    /**
     * Parses the text of the file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static ProcessorConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.parseObject(text, mapper, "processor", FIELDS);
        JsonNode bounds = json.path("bounds");
        if (!bounds.isMissingNode()) {
            OperatorFile.requireObject(
                    bounds, "bounds", Set.of("open", "open_per_caller", "remembered", "remember_ms", "pick_up_ms"));
        }
        Listener http = listener(json, "http", Set.of("listen", "connections"));
        Listener spop = listener(json, "spop", Set.of("listen", "connections"));
        Listener envoy = listener(json, "envoy", Set.of("listen", "connections", "streams"));
        if (http == null && spop == null && envoy == null) {
            throw new IllegalArgumentException("processor has none of http, spop and envoy");
        }
        return new ProcessorConfig(
                http,
                spop,
                envoy,
                OperatorFile.wholeNumber(json.path("envoy"), "envoy", "streams", DEFAULT_STREAMS, 1, MAX_STREAMS),
                headerNames(json.path("headers")),
                json.path("class").asText(),
                new Bounds(
                        boundValue(bounds, "open", DEFAULT_OPEN, MAX_OPEN),
                        boundValue(bounds, "open_per_caller", DEFAULT_OPEN_PER_CALLER, MAX_OPEN),
                        boundValue(bounds, "remembered", DEFAULT_REMEMBERED, MAX_REMEMBERED),
                        boundValue(bounds, "remember_ms", DEFAULT_REMEMBER_MS, MAX_REMEMBER_MS),
                        boundValue(bounds, "pick_up_ms", DEFAULT_PICK_UP_MS, MAX_PICK_UP_MS)));
    }

    private static Map<Field, String> headerNames(JsonNode json) {
        Map<Field, String> headerNames = new EnumMap<>(Field.class);
        if (!json.isMissingNode()) {
            OperatorFile.requireObject(
                    json,
                    "headers",
                    CONFIGURABLE_FIELDS.stream().map(ProcessorConfig::fieldKey).collect(Collectors.toSet()));
            for (Field field : CONFIGURABLE_FIELDS) {
                JsonNode name = json.path(fieldKey(field));
                if (!name.isMissingNode()) {
                    if (!name.isTextual() || !name.asText().matches("[A-Za-z0-9-]{1," + MAX_HEADER_NAME_LENGTH + "}")) {
                        throw new IllegalArgumentException(
                                "headers." + fieldKey(field) + " is not a valid header name");
                    }
                    headerNames.put(field, name.asText());
                }
            }
        }
        return headerNames;
    }

    private static String fieldKey(Field field) {
        return field.name().toLowerCase(Locale.ROOT);
    }

    private static Listener listener(JsonNode json, String name, Set<String> fields) {
        JsonNode front = json.path(name);
        if (front.isMissingNode()) {
            return null;
        }
        OperatorFile.requireObject(front, name, fields);
        return new Listener(
                EndpointList.address(front.path("listen").asText()),
                OperatorFile.wholeNumber(front, name, "connections", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS));
    }

    private static int boundValue(JsonNode json, String field, int defaultValue, int max) {
        return OperatorFile.wholeNumber(json, "bounds", field, defaultValue, 1, max);
    }
}
