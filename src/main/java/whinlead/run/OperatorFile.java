package whinlead.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Set;

/**
 * Reads JSON objects from operators' files. Unknown fields are errors: a misspelt limit would have no effect. Invalid
 * input throws an {@link IllegalArgumentException} with a one-line message that names the field.
 */
final class OperatorFile {
    private OperatorFile() {}

    /** Reads a file as text. */
    static String readText(String path) {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    /** Parses a text as an object that has no fields other than these. */
    static JsonNode parseObject(String text, ObjectMapper mapper, String name, Set<String> fields) {
        return requireObject(parseJson(text, mapper, name), name, fields);
    }

    /** Parses a text as JSON; {@code name} is for error messages. */
    static JsonNode parseJson(String text, ObjectMapper mapper, String name) {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(name + ": not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /** Checks that a value is an object without fields other than these, and returns it. */
    static JsonNode requireObject(JsonNode json, String name, Set<String> fields) {
        if (!json.isObject()) {
            throw new IllegalArgumentException(name + " is missing or not an object");
        }
        json.fieldNames().forEachRemaining(field -> {
            if (!fields.contains(field)) {
                throw new IllegalArgumentException(name + "." + field + " is an unknown field");
            }
        });
        return json;
    }

    /** Returns an integer within bounds, or {@code defaultValue} if the field is absent. */
    static int wholeNumber(JsonNode json, String name, String field, int defaultValue, int min, int max) {
        JsonNode value = json.path(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isInt() || value.asInt() < min || value.asInt() > max) {
            throw new IllegalArgumentException(
                    name + "." + field + " is not a whole number from " + min + " to " + max);
        }
        return value.asInt();
    }
}
