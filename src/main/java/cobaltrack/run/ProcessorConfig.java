package cobaltrack.run;

import cobaltrack.consult.Bounds;
import cobaltrack.membership.EndpointList;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Set;

/**
 * What the external processor is told at start ({@code docs/processor.md}). Unknown fields are errors: a misspelt bound
 * would be no bound.
 *
 * @param http where the consult API listens
 * @param connections connections from its callers at once
 */
record ProcessorConfig(InetSocketAddress http, int connections, Bounds bounds) {
    private static final int CONNECTIONS = 64;
    /** Of the 1,024 descriptors that the platform allows 832 are spoken for. */
    private static final int CONNECTIONS_MOST = 128;
    private static final int OPEN = 2000;
    private static final int OPEN_MOST = 20_000;
    private static final int OPEN_PER_CALLER = 1000;
    private static final int REMEMBERED = 10_000;
    private static final int REMEMBERED_MOST = 100_000;
    private static final int REMEMBER_MS = 60_000;
    private static final int REMEMBER_MOST_MS = 3_600_000;
    private static final int PICK_UP_MS = 250;
    private static final int PICK_UP_MOST_MS = 10_000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ProcessorConfig read(String path, ObjectMapper mapper) {
        try {
            return parse(Files.readString(Path.of(path)), mapper);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    /**
     * Reads its text.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ProcessorConfig parse(String text, ObjectMapper mapper) {
        JsonNode json;
        try {
            json = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("processor: not JSON: " + e.getOriginalMessage(), e);
        }
        only(json, "processor", Set.of("http", "bounds"));
        JsonNode http = json.path("http");
        only(http, "http", Set.of("listen", "connections"));
        JsonNode bounds = json.path("bounds");
        if (!bounds.isMissingNode()) {
            only(bounds, "bounds", Set.of("open", "open_per_caller", "remembered", "remember_ms", "pick_up_ms"));
        }
        return new ProcessorConfig(EndpointList.address(http.path("listen").asText()),
                whole(http, "connections", CONNECTIONS, CONNECTIONS_MOST),
                new Bounds(whole(bounds, "open", OPEN, OPEN_MOST),
                        whole(bounds, "open_per_caller", OPEN_PER_CALLER, OPEN_MOST),
                        whole(bounds, "remembered", REMEMBERED, REMEMBERED_MOST),
                        whole(bounds, "remember_ms", REMEMBER_MS, REMEMBER_MOST_MS),
                        whole(bounds, "pick_up_ms", PICK_UP_MS, PICK_UP_MOST_MS)));
    }

    private static void only(JsonNode json, String what, Set<String> fields) {
        if (!json.isObject()) {
            throw new IllegalArgumentException(what + " is missing or no object");
        }
        json.fieldNames().forEachRemaining(name -> {
            if (!fields.contains(name)) {
                throw new IllegalArgumentException(what + "." + name + " is unknown");
            }
        });
    }

    private static int whole(JsonNode json, String field, int absent, int most) {
        JsonNode value = json.path(field);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > most) {
            throw new IllegalArgumentException(field + " is not a whole number from 1 to " + most);
        }
        return value.asInt();
    }
}
