package whinlead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings of an instance from pairs of path and value. The simulator's first message and the sidecar's
 * configuration contain the same pairs, so both adapters use this class. Unknown keys are ignored.
 */
public final class SettingsReader {
    private final Map<String, String> pairs;

    /** Creates a reader of these pairs, whose keys are paths such as {@code classes.0.name}. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = Map.copyOf(pairs);
    }

    /**
     * Returns the settings.
     *
     * @throws IllegalArgumentException if a key is missing or its value is invalid; the message names the key
     */
    public Contract.Settings settings() {
        List<Contract.RequestClass> classes = new ArrayList<>();
        int classCount = integer("classes.count", 1);
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass("classes." + i + "."));
        }
        List<Contract.Tenant> tenants = new ArrayList<>();
        int tenantCount = pairs.containsKey("tenants.count") ? integer("tenants.count", 0) : 0;
        for (int i = 0; i < tenantCount; i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Contract.Tenant(
                    text(prefix + "name"), number(prefix + "share", 0, 1), number(prefix + "quota_per_s", 0, 1e12)));
        }
        int sidecars = integer("peers_total", 1);
        int ordinal = integer("ordinal", 0);
        if (ordinal >= sidecars) {
            throw invalid("ordinal", "is not below peers_total");
        }
        Contract.Reporting reporting =
                switch (text("reporting.how")) {
                    case "off" -> Contract.Reporting.NONE;
                    case "inline" -> Contract.Reporting.WITH_ANSWERS;
                    case "on_probe" -> Contract.Reporting.WITH_PROBES;
                    default -> throw invalid("reporting.how", "is not one of off, inline, on_probe");
                };
        boolean listMustBeRequested =
                switch (text("discovery")) {
                    case "ask" -> true;
                    case "push" -> false;
                    default -> throw invalid("discovery", "is not one of ask, push");
                };
        double overShareWorth = tenantCount == 0 ? 1 : number("over_share_worth", 0, 1);
        return new Contract.Settings(
                classes,
                tenants,
                overShareWorth,
                limits(),
                obligations(),
                reporting,
                listMustBeRequested,
                sidecars,
                ordinal);
    }

    private Contract.RequestClass requestClass(String prefix) {
        Contract.Effect effect =
                switch (text(prefix + "effect")) {
                    case "idempotent" -> Contract.Effect.SAFE;
                    case "deduplicated" -> Contract.Effect.KEYED;
                    case "at_most_once" -> Contract.Effect.UNSAFE;
                    default -> throw invalid(prefix + "effect", "is not one of idempotent, deduplicated, at_most_once");
                };
        Contract.Group dedupGroup = Contract.Group.ALL;
        double dedupWindow = 0;
        if (effect == Contract.Effect.KEYED) {
            dedupGroup = switch (text(prefix + "group")) {
                case "all" -> Contract.Group.ALL;
                case "zone" -> Contract.Group.ZONE;
                case "cell" -> Contract.Group.CELL;
                default -> throw invalid(prefix + "group", "is not one of all, zone, cell");
            };
            dedupWindow = number(prefix + "window", 0, 1e12);
        }
        double latencyTarget = number(prefix + "slo", 1e-3, 1e12);
        double deadline = number(prefix + "deadline", 1e-3, 1e12);
        if (latencyTarget > deadline) {
            throw invalid(prefix + "slo", "is longer than the deadline of its class");
        }
        return new Contract.RequestClass(
                text(prefix + "name"),
                number(prefix + "value", 0, 1e12),
                number(prefix + "late_worth", 0, 1),
                latencyTarget,
                deadline,
                effect,
                dedupGroup,
                dedupWindow,
                pairs.containsKey(prefix + "stream") && flag(prefix + "stream"));
    }

    private Contract.Limits limits() {
        return new Contract.Limits(
                integer("limits.attempts_cap", 1),
                flag("limits.may_duplicate"),
                flag("limits.cancel"),
                flag("limits.probes"),
                flag("limits.peers"),
                flag("limits.retry_after"),
                number("limits.max_retry_after", 0, 1e12),
                pairs.containsKey("costs.probe") ? number("costs.probe", 0, 1e12) : 0);
    }

    private Contract.Obligations obligations() {
        return new Contract.Obligations(
                number("obligations.drain_grace", 0, 1e12),
                number("obligations.fall_multiple", 1e-9, 1e12),
                number("obligations.overload_for", 1e-3, 1e12),
                number("obligations.cold_share", 0, 1),
                number("obligations.cold", 0, 1e12),
                pairs.containsKey("obligations.ask_within") ? number("obligations.ask_within", 0, 1e12) : 0);
    }

    private String text(String key) {
        String value = pairs.get(key);
        if (value == null) {
            throw invalid(key, "is missing");
        }
        return value;
    }

    private boolean flag(String key) {
        return switch (text(key)) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw invalid(key, "is neither true nor false");
        };
    }

    private int integer(String key, int min) {
        double value = number(key, min, 1e9);
        if (value != Math.rint(value)) {
            throw invalid(key, "is not a whole number");
        }
        return (int) value;
    }

    private double number(String key, double min, double max) {
        double value;
        try {
            value = Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw invalid(key, "is not a number");
        }
        if (!(value >= min && value <= max)) {
            throw invalid(key, "is out of range");
        }
        return value;
    }

    private static IllegalArgumentException invalid(String key, String problem) {
        return new IllegalArgumentException(key + " " + problem);
    }
}
