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
 * What the external processor is told at start ({@code docs/processor.md}). Unknown fields are errors: a misspelt bound
 * would be no bound.
 *
 * @param http the consult API, or null
 * @param spop the agent for HAProxy, or null
 * @param envoy Envoy's external processing, or null
 * @param streams requests of one connection of Envoy's at once
 * @param headers what callers' headers are called, where it is not as the fronts have it
 * @param usualClass the class of a request that names none; empty if it has to name one
 */
record ProcessorConfig(
        Listener http,
        Listener spop,
        Listener envoy,
        int streams,
        Map<Field, String> headers,
        String usualClass,
        Bounds bounds) {
    /** Where a front listens, and its connections from callers at once. */
    record Listener(InetSocketAddress address, int connections) {}

    private static final Set<String> FIELDS = Set.of("http", "spop", "envoy", "headers", "class", "bounds");
    private static final int CONNECTIONS = 32;
    /** Of the 1,024 descriptors that the platform allows 832 are spoken for. */
    private static final int MAX_CONNECTIONS = 64;

    private static final int STREAMS = 1000;
    private static final int MAX_STREAMS = 20_000;
    private static final int MAX_NAME = 64;
    /** What a caller's header may tell; the rest is between the program and the proxy. */
    private static final Set<Field> MAPPED =
            EnumSet.of(Field.ID, Field.CLASS, Field.TENANT, Field.TIMEOUT, Field.REPEAT, Field.NOT_STARTED, Field.LOAD);

    private static final int OPEN = 2000;
    private static final int MAX_OPEN = 20_000;
    private static final int OPEN_PER_CALLER = 1000;
    private static final int REMEMBERED = 10_000;
    private static final int MAX_REMEMBERED = 100_000;
    private static final int REMEMBER_MS = 60_000;
    private static final int MAX_REMEMBER_MS = 3_600_000;
    private static final int PICK_UP_MS = 250;
    private static final int MAX_PICK_UP_MS = 10_000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ProcessorConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.text(path), mapper);
    }

    /**
     * Reads its text.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ProcessorConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.object(text, mapper, "processor", FIELDS);
        JsonNode bounds = json.path("bounds");
        if (!bounds.isMissingNode()) {
            OperatorFile.only(
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
                OperatorFile.whole(json.path("envoy"), "envoy", "streams", STREAMS, 1, MAX_STREAMS),
                headers(json.path("headers")),
                json.path("class").asText(),
                new Bounds(
                        bound(bounds, "open", OPEN, MAX_OPEN),
                        bound(bounds, "open_per_caller", OPEN_PER_CALLER, MAX_OPEN),
                        bound(bounds, "remembered", REMEMBERED, MAX_REMEMBERED),
                        bound(bounds, "remember_ms", REMEMBER_MS, MAX_REMEMBER_MS),
                        bound(bounds, "pick_up_ms", PICK_UP_MS, MAX_PICK_UP_MS)));
    }

    private static Map<Field, String> headers(JsonNode json) {
        Map<Field, String> headers = new EnumMap<>(Field.class);
        if (!json.isMissingNode()) {
            OperatorFile.only(
                    json, "headers", MAPPED.stream().map(ProcessorConfig::key).collect(Collectors.toSet()));
            for (Field field : MAPPED) {
                JsonNode name = json.path(key(field));
                if (!name.isMissingNode()) {
                    if (!name.isTextual() || !name.asText().matches("[A-Za-z0-9-]{1," + MAX_NAME + "}")) {
                        throw new IllegalArgumentException("headers." + key(field) + " is no name of a header");
                    }
                    headers.put(field, name.asText());
                }
            }
        }
        return headers;
    }

    private static String key(Field field) {
        return field.name().toLowerCase(Locale.ROOT);
    }

    private static Listener listener(JsonNode json, String name, Set<String> fields) {
        JsonNode front = json.path(name);
        if (front.isMissingNode()) {
            return null;
        }
        OperatorFile.only(front, name, fields);
        return new Listener(
                EndpointList.address(front.path("listen").asText()),
                OperatorFile.whole(front, name, "connections", CONNECTIONS, 1, MAX_CONNECTIONS));
    }

    private static int bound(JsonNode json, String field, int absent, int most) {
        return OperatorFile.whole(json, "bounds", field, absent, 1, most);
    }
}
