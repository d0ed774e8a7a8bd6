package whinlead.mesh.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads a settings file of lines {@code a.b=value}, with lists separated by commas. Ignores unknown fields. */
public final class NodeSettingsReader {
    private static final Set<String> LISTS = Set.of("Network.Seeds", "Network.PortRange", "Clauses.Invariants");
    private final ObjectMapper mapper;

    /** A reader; copies the mapper and leaves the original unchanged. */
    public NodeSettingsReader(ObjectMapper mapper) {
        this.mapper = mapper.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    /**
     * Reads a file.
     *
     * @throws NodeSettingsException naming the invalid file or field
     */
    public NodeSettings read(Path file) {
        try {
            return parse(Files.readAllLines(file));
        } catch (IOException e) {
            throw new NodeSettingsException("settings file " + file + " can't be read", e);
        }
    }

    /**
     * Parses the lines of a file.
     *
     * @throws NodeSettingsException naming the invalid field
     */
    public NodeSettings parse(List<String> lines) {
        ObjectNode root = mapper.createObjectNode();
        for (String line : lines) {
            int separator = line.indexOf('=');
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            if (separator <= 0) {
                throw new NodeSettingsException("'" + line + "' is not FIELD=VALUE");
            }
            put(
                    root,
                    line.substring(0, separator).trim(),
                    line.substring(separator + 1).trim());
        }
        try {
            return mapper.treeToValue(root, NodeSettings.class);
        } catch (JsonMappingException e) {
            for (Throwable cause = e; cause != null; cause = cause.getCause()) {
                if (cause instanceof NodeSettingsException wrong) {
                    throw wrong;
                }
            }
            throw new NodeSettingsException(
                    e.getPath().stream()
                                    .map(JsonMappingException.Reference::getFieldName)
                                    .collect(Collectors.joining("."))
                            + " is malformed",
                    e);
        } catch (JsonProcessingException e) {
            throw new NodeSettingsException("settings are malformed", e);
        }
    }

    private static void put(ObjectNode root, String field, String value) {
        ObjectNode table = root;
        String[] parts = field.split("\\.");
        for (int i = 0; i < parts.length - 1; i++) {
            if (table.has(parts[i]) && !table.get(parts[i]).isObject()) {
                throw new NodeSettingsException(field + " is below a field that holds a value");
            }
            table = table.withObject("/" + parts[i].replace("~", "~0").replace("/", "~1"));
        }
        String last = parts[parts.length - 1];
        if (LISTS.contains(field)) {
            ArrayNode list = table.putArray(last);
            for (String part : value.split(",")) {
                list.add(part.trim());
            }
        } else {
            table.put(last, value);
        }
    }
}
