package whinlead.plan.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import whinlead.Contract;
import whinlead.plan.Distribution;
import whinlead.plan.Fleet;
import whinlead.plan.Load;

/**
 * A deployment and its load as described by an operator, for example {@code deploy/fleet.json}; checked against the
 * JSON schema and for rules that a schema cannot express.
 */
public record Description(Fleet fleet, Load load) {
    private static final String SCHEMA = "/whinlead/plan/fleet.schema.json";
    /** Tolerance for the sum of shares, which must be 1. */
    private static final double SUM_SLACK = 1e-6;

    private static final double SECOND_MS = 1000;

    /**
     * Reads a description.
     *
     * @throws IllegalArgumentException with a one-line message that names the file and, if known, the field
     */
    public static Description read(Path file) {
        ObjectMapper mapper = new ObjectMapper();
        JsonNode root;
        try {
            root = mapper.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + ": not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": can't be read", e);
        }
        try {
            return parse(root);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    /** Reads a description from a resource in the jar. */
    public static Description of(String resource) {
        try (InputStream in = Description.class.getResourceAsStream(resource)) {
            return parse(new ObjectMapper().readTree(in));
        } catch (IOException e) {
            throw new IllegalStateException(resource + " can't be read", e);
        }
    }

    /** Parses and checks a description. */
    public static Description parse(JsonNode root) {
        check(root);
        JsonNode classes = root.get("classes");
        List<Contract.RequestClass> types = new ArrayList<>();
        List<Fleet.Work> work = new ArrayList<>();
        for (JsonNode c : classes) {
            types.add(new Contract.RequestClass(
                    c.get("name").textValue(),
                    c.get("worth").doubleValue(),
                    number(c, "late_worth", 0),
                    c.get("aim").doubleValue(),
                    c.get("deadline").doubleValue(),
                    effect(c.get("effect").textValue()),
                    group(c.path("group").asText("all")),
                    number(c, "window", 0),
                    false));
            work.add(new Fleet.Work(
                    distribution(c.get("work")), c.has("away") ? distribution(c.get("away")) : new Distribution(0, 0)));
        }
        JsonNode rules = root.get("rules");
        JsonNode sidecars = root.get("sidecars");
        List<Double> shares = new ArrayList<>();
        sidecars.get("shares").forEach(s -> shares.add(s.doubleValue()));
        double retryAfter = number(root, "max_retry_after", 0);
        Contract.Settings settings = new Contract.Settings(
                types,
                List.of(),
                1,
                new Contract.Limits(
                        root.get("attempts").intValue(), true, true, false, false, retryAfter > 0, retryAfter, 0),
                new Contract.Obligations(
                        rules.get("drain_grace").doubleValue(),
                        rules.get("fall_multiple").doubleValue(),
                        rules.get("fall_time").doubleValue(),
                        rules.get("cold_share").doubleValue(),
                        rules.get("cold_time").doubleValue(),
                        10 * SECOND_MS),
                root.get("reports").booleanValue() ? Contract.Reporting.WITH_ANSWERS : Contract.Reporting.NONE,
                false,
                shares.size(),
                0);
        List<Fleet.Model> models = new ArrayList<>();
        for (JsonNode m : root.get("models")) {
            models.add(new Fleet.Model(
                    m.get("name").textValue(),
                    m.get("cores").intValue(),
                    m.get("speed").get(0).doubleValue(),
                    m.get("speed").get(1).doubleValue(),
                    m.get("share").doubleValue()));
        }
        List<Fleet.Zone> zones = new ArrayList<>();
        for (JsonNode z : root.get("zones")) {
            zones.add(new Fleet.Zone(
                    z.get("name").textValue(),
                    z.get("share").doubleValue(),
                    z.get("way").doubleValue()));
        }
        JsonNode f = root.get("fronts");
        JsonNode thrash = f.path("thrash");
        JsonNode clients = root.get("clients");
        Fleet fleet = new Fleet(
                settings,
                models,
                zones,
                f.get("count").intValue(),
                work,
                new Fleet.Front(
                        f.path("sharing").asBoolean(false),
                        f.get("room_per_core").doubleValue(),
                        f.get("connections").intValue(),
                        number(f, "handshake", 0),
                        rules.get("cold_share").doubleValue(),
                        rules.get("cold_time").doubleValue(),
                        number(thrash, "above", 0),
                        number(thrash, "speed", 1),
                        number(thrash, "until", 0),
                        f.path("cancel_stops").asBoolean(false)),
                new Fleet.Sidecar(
                        number(sidecars, "work", 0),
                        sidecars.get("places").intValue(),
                        sidecars.get("connections").intValue(),
                        sidecars.get("connect_timeout").doubleValue(),
                        number(sidecars, "idle", 60 * SECOND_MS)),
                shares,
                new Fleet.Clients(
                        clients.get("tries").intValue(),
                        number(clients, "back_off", 100),
                        number(clients, "honour", 1)),
                changes(root.path("changes")));
        fleet.check();
        return new Description(fleet, load(root.get("load"), types));
    }

    private static void check(JsonNode root) {
        try (InputStream in = Description.class.getResourceAsStream(SCHEMA)) {
            Set<ValidationMessage> violations = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in)
                    .validate(root);
            if (!violations.isEmpty()) {
                // The first in sorted order, so that the same file always gives the same message.
                throw new IllegalArgumentException(violations.stream()
                        .map(ValidationMessage::getMessage)
                        .sorted()
                        .findFirst()
                        .orElseThrow());
            }
        } catch (IOException e) {
            throw new IllegalStateException("schema can't be read: " + SCHEMA, e);
        }
    }

    private static List<Fleet.Change> changes(JsonNode list) {
        List<Fleet.Change> changes = new ArrayList<>();
        for (JsonNode c : list) {
            changes.add(new Fleet.Change(
                    Fleet.ChangeKind.valueOf(c.get("kind").textValue().toUpperCase(Locale.ROOT)),
                    c.has("zone") ? c.get("zone").textValue() : null,
                    number(c, "share", 1),
                    number(c, "speed", 1),
                    c.get("from").doubleValue(),
                    c.get("to").doubleValue(),
                    number(c, "notice", 0)));
        }
        return changes;
    }

    private static Load load(JsonNode node, List<Contract.RequestClass> types) {
        List<Double> mix = new ArrayList<>();
        double sum = 0;
        for (Contract.RequestClass type : types) {
            mix.add(number(node.get("mix"), type.name(), 0));
            sum += mix.get(mix.size() - 1);
        }
        node.get("mix").fieldNames().forEachRemaining(name -> {
            if (types.stream().noneMatch(type -> type.name().equals(name))) {
                throw new IllegalArgumentException("load.mix: no class " + name);
            }
        });
        if (Math.abs(sum - 1) > SUM_SLACK) {
            throw new IllegalArgumentException("load.mix: shares add up to " + sum + ", not 1");
        }
        List<Load.Burst> bursts = new ArrayList<>();
        for (JsonNode burst : node.path("bursts")) {
            bursts.add(new Load.Burst(
                    burst.get("from").doubleValue(),
                    burst.get("to").doubleValue(),
                    burst.get("times").doubleValue()));
        }
        return new Load(
                node.get("per_second").doubleValue(),
                mix,
                bursts,
                node.get("seconds").doubleValue() * SECOND_MS);
    }

    private static Distribution distribution(JsonNode node) {
        return new Distribution(node.get("mean").doubleValue(), node.get("cv").doubleValue());
    }

    private static double number(JsonNode node, String field, double defaultValue) {
        return node.has(field) ? node.get(field).doubleValue() : defaultValue;
    }

    private static Contract.Effect effect(String name) {
        return switch (name) {
            case "idempotent" -> Contract.Effect.SAFE;
            case "deduplicated" -> Contract.Effect.KEYED;
            default -> Contract.Effect.UNSAFE;
        };
    }

    private static Contract.Group group(String name) {
        return switch (name) {
            case "zone" -> Contract.Group.ZONE;
            case "cell" -> Contract.Group.CELL;
            default -> Contract.Group.ALL;
        };
    }
}
