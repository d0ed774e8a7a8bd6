package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The owners of keys as one sidecar knows them, by service. Mergeable state; bounded. Pure; one thread. */
public final class KeyRoutes {
    /** Services that are kept at most, and ranges of one. */
    private static final int MAX_SERVICES = 64;

    private static final int MAX_RANGES = 16_384;

    private final Map<String, KeyMap<KeyRoute>> services = new HashMap<>();

    /** Takes routes in; true if any was news. */
    public boolean merge(String service, List<KeyRoute> routes) {
        if (!services.containsKey(service) && services.size() >= MAX_SERVICES) {
            return false;
        }
        KeyMap<KeyRoute> known = services.computeIfAbsent(service, name -> new KeyMap<>());
        boolean news = false;
        for (KeyRoute route : routes) {
            if (known.size() < MAX_RANGES) {
                news |= merge(known, route);
            }
        }
        return news;
    }

    private static boolean merge(KeyMap<KeyRoute> known, KeyRoute route) {
        List<KeyRange> newer = new ArrayList<>(known.gaps(route.range()));
        for (KeyMap.Entry<KeyRoute> each : known.overlapping(route.range())) {
            if (each.value().fence() < route.fence()) {
                newer.add(each.range());
            }
        }
        newer.forEach(range -> known.put(range, route));
        return !newer.isEmpty();
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

    /** All services that routes are known of. */
    public Set<String> services() {
        return services.keySet();
    }
}
