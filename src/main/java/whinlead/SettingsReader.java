package whinlead;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of an instance, read from path and value pairs. The simulator's first message and the real sidecar's
 * configuration hold the same ones, so both adapters read them here. Unknown keys are ignored.
 */
public final class SettingsReader {
    private final Map<String, String> pairs;

    /** Reads from these pairs, whose keys are paths such as {@code classes.0.name}. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = Map.copyOf(pairs);
    }

    /**
     * The settings.
     *
     * @throws IllegalArgumentException naming the key that is missing or makes no sense
     */
    public Contract.Settings settings() {
        List<Contract.RequestClass> classes = new ArrayList<>();
        int n = whole("classes.count", 1);
        for (int i = 0; i < n; i++) {
            classes.add(requestClass("classes." + i + "."));
        }
        List<Contract.Tenant> tenants = new ArrayList<>();
        int t = pairs.containsKey("tenants.count") ? whole("tenants.count", 0) : 0;
        for (int i = 0; i < t; i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Contract.Tenant(
                    word(at + "name"), number(at + "share", 0, 1), number(at + "quota_per_s", 0, 1e12)));
        }
        int sidecars = whole("peers_total", 1);
        int ordinal = whole("ordinal", 0);
        if (ordinal >= sidecars) {
            throw fault("ordinal", "is not below peers_total");
        }
        Contract.Reporting reporting =
                switch (word("reporting.how")) {
                    case "off" -> Contract.Reporting.NONE;
                    case "inline" -> Contract.Reporting.WITH_ANSWERS;
                    case "on_probe" -> Contract.Reporting.WITH_PROBES;
                    default -> throw fault("reporting.how", "is not one of off, inline, on_probe");
                };
        boolean ask =
                switch (word("discovery")) {
                    case "ask" -> true;
                    case "push" -> false;
                    default -> throw fault("discovery", "is not one of ask, push");
                };
        double over = t == 0 ? 1 : number("over_share_worth", 0, 1);
        return new Contract.Settings(
                classes, tenants, over, limits(), obligations(), reporting, ask, sidecars, ordinal);
    }

    private Contract.RequestClass requestClass(String at) {
        Contract.Effect effect =
                switch (word(at + "effect")) {
                    case "idempotent" -> Contract.Effect.SAFE;
                    case "deduplicated" -> Contract.Effect.KEYED;
                    case "at_most_once" -> Contract.Effect.UNSAFE;
                    default -> throw fault(at + "effect", "is not one of idempotent, deduplicated, at_most_once");
                };
        Contract.Group group = Contract.Group.ALL;
        double window = 0;
        if (effect == Contract.Effect.KEYED) {
            group = switch (word(at + "group")) {
                case "all" -> Contract.Group.ALL;
                case "zone" -> Contract.Group.ZONE;
                case "cell" -> Contract.Group.CELL;
                default -> throw fault(at + "group", "is not one of all, zone, cell");
            };
            window = number(at + "window", 0, 1e12);
        }
        double aim = number(at + "slo", 1e-3, 1e12);
        double deadline = number(at + "deadline", 1e-3, 1e12);
        if (aim > deadline) {
            throw fault(at + "slo", "is over the deadline of its class");
        }
        return new Contract.RequestClass(
                word(at + "name"),
                number(at + "value", 0, 1e12),
                number(at + "late_worth", 0, 1),
                aim,
                deadline,
                effect,
                group,
                window,
                pairs.containsKey(at + "stream") && flag(at + "stream"));
    }

    private Contract.Limits limits() {
        return new Contract.Limits(
                whole("limits.attempts_cap", 1),
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

    private String word(String key) {
        String v = pairs.get(key);
        if (v == null) {
            throw fault(key, "is missing");
        }
        return v;
    }

    private boolean flag(String key) {
        return switch (word(key)) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw fault(key, "is neither true nor false");
        };
    }

    private int whole(String key, int least) {
        double v = number(key, least, 1e9);
        if (v != Math.rint(v)) {
            throw fault(key, "is not a whole number");
        }
        return (int) v;
    }

    private double number(String key, double least, double most) {
        double v;
        try {
            v = Double.parseDouble(word(key));
        } catch (NumberFormatException e) {
            throw fault(key, "is not a number");
        }
        if (!(v >= least && v <= most)) {
            throw fault(key, "is out of range");
        }
        return v;
    }

    private static IllegalArgumentException fault(String key, String what) {
        return new IllegalArgumentException(key + " " + what);
    }
}
