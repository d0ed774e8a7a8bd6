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
 * An object in a file of the operator's: JSON whose unknown fields are errors, for a misspelt bound would be no bound.
 * What is bad is an {@link IllegalArgumentException} of one line that names the field.
 */
final class OperatorFile {
    private OperatorFile() {}

    /** The text of a file. */
    static String text(String path) {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    /** The object that a text is, with these fields and no others. */
    static JsonNode object(String text, ObjectMapper mapper, String name, Set<String> fields) {
        return only(json(text, mapper, name), name, fields);
    }

    /** What a text is. */
    static JsonNode json(String text, ObjectMapper mapper, String name) {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(name + ": not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /** The same of what was read. */
    static JsonNode only(JsonNode json, String name, Set<String> fields) {
        if (!json.isObject()) {
            throw new IllegalArgumentException(name + " is missing or no object");
        }
        json.fieldNames().forEachRemaining(field -> {
            if (!fields.contains(field)) {
                throw new IllegalArgumentException(name + "." + field + " is unknown");
            }
        });
        return json;
    }

    /** A whole number within bounds; {@code absent} where the field is not there. */
    static int whole(JsonNode json, String name, String field, int absent, int least, int most) {
        JsonNode value = json.path(field);
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isInt() || value.asInt() < least || value.asInt() > most) {
            throw new IllegalArgumentException(
                    name + "." + field + " is not a whole number from " + least + " to " + most);
        }
        return value.asInt();
    }
}
