package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The owners of keys that one sidecar knows, by service. The state can be merged in any order and is bounded: routes of
 * services that are no longer configured make room for those of others. Pure; one thread.
 */
public final class KeyRoutes {
    /** Maximum number of services that are stored; a configuration divides no more. */
    static final int MAX_SERVICES = KeyTerms.MAX_SERVICES;
    /** Maximum number of ranges that are stored for each service. */
    private static final int MAX_RANGES = 16_384;

    private final Map<String, KeyMap<KeyRoute>> services = new HashMap<>();

    /**
     * Merges routes; returns true if any of them was new.
     *
     * @param configured whether a service is configured; asked only if there is no room left
     */
    public boolean merge(String service, List<KeyRoute> routes, Predicate<String> configured) {
        if (!services.containsKey(service) && services.size() >= MAX_SERVICES) {
            services.keySet().removeIf(configured.negate());
        }
        if (!services.containsKey(service) && services.size() >= MAX_SERVICES) {
            return false;
        }
        KeyMap<KeyRoute> known = services.computeIfAbsent(service, name -> new KeyMap<>());
        boolean changed = false;
        for (KeyRoute route : routes) {
            if (known.size() < MAX_RANGES) {
                changed |= merge(known, route);
            }
        }
        return changed;
    }

    private static boolean merge(KeyMap<KeyRoute> known, KeyRoute route) {
        List<KeyRange> newerRanges = new ArrayList<>(known.gaps(route.range()));
        for (KeyMap.Entry<KeyRoute> each : known.overlapping(route.range())) {
            if (each.value().fence() < route.fence()) {
                newerRanges.add(each.range());
            }
        }
        newerRanges.forEach(range -> known.put(range, route));
        return !newerRanges.isEmpty();
    }

    /** The node beside the owner of this key; null if none is known. */
    public String owner(String service, int key) {
        KeyMap<KeyRoute> known = services.get(service);
        KeyRoute route = known == null ? null : known.get(key);
        return route == null ? null : route.node();
    }

    /** All nodes beside owners of keys of a service. */
    public Set<String> owners(String service) {
        Set<String> nodes = new HashSet<>();
        KeyMap<KeyRoute> known = services.get(service);
        if (known != null) {
            known.entries().forEach(each -> nodes.add(each.value().node()));
        }
        return nodes;
    }

    /** All services with known routes. */
    public Set<String> services() {
        return services.keySet();
    }
}
