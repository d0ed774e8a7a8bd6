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
 * The replication configuration of a sidecar ({@code deploy/copies.json}, {@code docs/copies.md}), validated against
 * its schema.
 *
 * @param processName name of this process
 * @param processes addresses of all processes by name, the same in the file of each process
 * @param groups initial members of each group by group name; one group of all processes if the file names no groups
 * @param replaceAfterMs time without contact after which another process replaces a member; 0 for never
 * @param diskFolder folder that only this process uses, or null if state is kept in memory only
 * @param traceFile file to which each step is written, or null for none
 */
record ReplicationConfig(
        String processName,
        SortedMap<String, InetSocketAddress> processes,
        SortedMap<String, SortedSet<String>> groups,
        double replaceAfterMs,
        Path diskFolder,
        Path traceFile,
        ReplicatedState.Limits limits) {
    private static final String SCHEMA = "/whinlead/run/copies.schema.json";
    /** Each takes about 600 bytes including its consensus state: 12 MB of heap in total ({@code docs/copies.md}). */
    private static final int DEFAULT_REQUESTS = 20_000;

    private static final int DEFAULT_OPEN_PER_CALLER = 1000;
    private static final int DEFAULT_REMEMBER_MS = 60_000;
    private static final int MAX_DRAINS = 10_000;

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static ReplicationConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.readText(path), mapper);
    }

    /**
     * Parses the text of the file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static ReplicationConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.parseJson(text, mapper, "copies");
        schemaError(json).ifPresent(error -> {
            throw new IllegalArgumentException("copies" + error);
        });
        boolean multipleGroups = json.has("groups");
        String processesField = multipleGroups ? "processes" : "members";
        SortedMap<String, InetSocketAddress> processes = new TreeMap<>();
        json.get(processesField)
                .fields()
                .forEachRemaining(e -> processes.put(
                        e.getKey(), EndpointList.address(e.getValue().asText())));
        String processName = json.get("name").asText();
        if (!processes.containsKey(processName)) {
            throw new IllegalArgumentException("copies." + processesField + " lacks " + processName);
        }
        if (processes.values().stream().distinct().count() < processes.size()) {
            throw new IllegalArgumentException("copies." + processesField + " lists an address twice");
        }
        SortedMap<String, SortedSet<String>> groups = new TreeMap<>();
        if (multipleGroups) {
            json.get("groups").fields().forEachRemaining(e -> groups.put(e.getKey(), groupMembers(e, processes)));
        } else {
            groups.put(json.get("group").asText(), new TreeSet<>(processes.keySet()));
        }
        JsonNode bounds = json.path("bounds");
        return new ReplicationConfig(
                processName,
                processes,
                groups,
                json.path("replace_after_ms").asDouble(0),
                optionalPath(json, "disk"),
                optionalPath(json, "trace"),
                new ReplicatedState.Limits(
                        bounds.path("requests").asInt(DEFAULT_REQUESTS),
                        bounds.path("open_per_caller").asInt(DEFAULT_OPEN_PER_CALLER),
                        MAX_DRAINS,
                        bounds.path("remember_ms").asInt(DEFAULT_REMEMBER_MS)));
    }

    private static Path optionalPath(JsonNode json, String field) {
        try {
            return json.has(field) ? Path.of(json.get(field).asText()) : null;
        } catch (InvalidPathException e) {
            throw new IllegalArgumentException("copies." + field + " is not a valid path", e);
        }
    }

    private static SortedSet<String> groupMembers(Map.Entry<String, JsonNode> group, Map<String, ?> processes) {
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

    /** The processes to which this process always stays connected: all with which it shares a group. */
    Set<String> peersInSharedGroups() {
        Set<String> peers = new TreeSet<>();
        groups.values().stream().filter(names -> names.contains(processName)).forEach(peers::addAll);
        return peers;
    }

    /** Whether the file names more than one group: then each group has its own folder. */
    boolean hasMultipleGroups() {
        return groups.size() > 1;
    }

    private static Optional<String> schemaError(JsonNode json) {
        try (InputStream in = ReplicationConfig.class.getResourceAsStream(SCHEMA)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in).validate(json).stream()
                    .map(ValidationMessage::getMessage)
                    .min(Comparator.naturalOrder())
                    .map(m -> m.replaceFirst("^\\$", ""));
        } catch (IOException e) {
            throw new IllegalStateException(SCHEMA + " cannot be read", e);
        }
    }
}
