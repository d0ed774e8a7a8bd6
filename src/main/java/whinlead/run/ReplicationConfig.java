package whinlead.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import whinlead.membership.EndpointList;
import whinlead.replication.ReplicatedState;

/**
 * Whom this sidecar keeps copies with ({@code deploy/copies.json}, {@code docs/copies.md}), checked by its schema.
 *
 * @param name of this process
 * @param processes all of them with their addresses, on every one the same
 * @param groups by their names, each with its first members; one of all where the file names no more
 * @param replaceAfterMs of silence, until a member is replaced by another process; 0 for never
 * @param disk a folder of this process's own, or null where nothing lasts
 * @param trace a file that each step is written to, or null for none
 */
record ReplicationConfig(
        String name,
        SortedMap<String, InetSocketAddress> processes,
        SortedMap<String, SortedSet<String>> groups,
        double replaceAfterMs,
        Path disk,
        Path trace,
        ReplicatedState.Limits limits) {
    private static final String SCHEMA = "/whinlead/run/copies.schema.json";
    /** Some 600 bytes each with what the consensus keeps of them: 12 MB of the heap ({@code docs/copies.md}). */
    private static final int REQUESTS = 20_000;

    private static final int OPEN_PER_CALLER = 1000;
    private static final int REMEMBER_MS = 60_000;
    private static final int DRAINS = 10_000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ReplicationConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.text(path), mapper);
    }

    /**
     * Reads its text.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static ReplicationConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.json(text, mapper, "copies");
        fault(json).ifPresent(f -> {
            throw new IllegalArgumentException("copies" + f);
        });
        boolean many = json.has("groups");
        String all = many ? "processes" : "members";
        SortedMap<String, InetSocketAddress> processes = new TreeMap<>();
        json.get(all)
                .fields()
                .forEachRemaining(e -> processes.put(
                        e.getKey(), EndpointList.address(e.getValue().asText())));
        String name = json.get("name").asText();
        if (!processes.containsKey(name)) {
            throw new IllegalArgumentException("copies." + all + " lacks " + name);
        }
        if (processes.values().stream().distinct().count() < processes.size()) {
            throw new IllegalArgumentException("copies." + all + " has an address twice");
        }
        SortedMap<String, SortedSet<String>> groups = new TreeMap<>();
        if (many) {
            json.get("groups").fields().forEachRemaining(e -> groups.put(e.getKey(), members(e, processes)));
        } else {
            groups.put(json.get("group").asText(), new TreeSet<>(processes.keySet()));
        }
        JsonNode bounds = json.path("bounds");
        return new ReplicationConfig(
                name,
                processes,
                groups,
                json.path("replace_after_ms").asDouble(0),
                path(json, "disk"),
                path(json, "trace"),
                new ReplicatedState.Limits(
                        bounds.path("requests").asInt(REQUESTS),
                        bounds.path("open_per_caller").asInt(OPEN_PER_CALLER),
                        DRAINS,
                        bounds.path("remember_ms").asInt(REMEMBER_MS)));
    }

    private static Path path(JsonNode json, String field) {
        try {
            return json.has(field) ? Path.of(json.get(field).asText()) : null;
        } catch (InvalidPathException e) {
            throw new IllegalArgumentException("copies." + field + " is no path", e);
        }
    }

    private static SortedSet<String> members(Map.Entry<String, JsonNode> group, Map<String, ?> processes) {
        SortedSet<String> members = new TreeSet<>();
        for (JsonNode member : group.getValue()) {
            if (!processes.containsKey(member.asText())) {
                throw new IllegalArgumentException(
                        "copies.processes lacks " + member.asText() + " of " + group.getKey());
            }
            members.add(member.asText());
        }
        return members;
    }

    /** Those that this process is always to be in touch with: all that it shares a group with. */
    Set<String> close() {
        Set<String> close = new TreeSet<>();
        groups.values().stream().filter(names -> names.contains(name)).forEach(close::addAll);
        return close;
    }

    /** True where the file tells of many groups: each has a folder of its own then. */
    boolean many() {
        return groups.size() > 1;
    }

    private static Optional<String> fault(JsonNode json) {
        try (InputStream in = ReplicationConfig.class.getResourceAsStream(SCHEMA)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in).validate(json).stream()
                    .map(ValidationMessage::getMessage)
                    .min(Comparator.naturalOrder())
                    .map(m -> m.replaceFirst("^\\$", ""));
        } catch (IOException e) {
            throw new IllegalStateException(SCHEMA + " can't be read", e);
        }
    }
}
