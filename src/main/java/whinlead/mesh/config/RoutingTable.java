package whinlead.mesh.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A configuration made ready for requests: finds a request's route, its service and its tenant. Immutable. */
public final class RoutingTable {
    /** Before the first configuration. */
    public static final long NONE = 0;

    /** A route by its name. */
    public record NamedRoute(String name, MeshConfig.Route route) {
        /** Whether a request may run more than once. */
        public boolean isIdempotent() {
            return MeshConfig.IDEMPOTENT.equals(route.kind());
        }

        /**
         * The service for one request.
         *
         * @param draw uniform from 0 to 1
         */
        public String service(double draw) {
            if (route.target() != null) {
                return route.target();
            }
            double left = draw
                    * route.shares().stream()
                            .mapToDouble(MeshConfig.Share::weight)
                            .sum();
            String last = null;
            for (MeshConfig.Share share : route.shares()) {
                if (share.weight() > 0) {
                    last = share.target();
                    left -= share.weight();
                    if (left < 0) {
                        break;
                    }
                }
            }
            return last;
        }
    }

    /** A tenant by its name. */
    public record NamedTenant(String name, MeshConfig.Tenant tenant) {}

    private final MeshConfig meshConfig;
    private final long slot;
    private final Map<String, List<NamedRoute>> hosts = new HashMap<>();
    private final Map<String, NamedTenant> keys = new HashMap<>();

    /** Of a configuration that was agreed on in this slot. */
    public RoutingTable(long slot, MeshConfig meshConfig) {
        this.slot = slot;
        this.meshConfig = meshConfig;
        meshConfig
                .routes()
                .forEach((name, r) -> hosts.computeIfAbsent(host(r.authority()), h -> new ArrayList<>())
                        .add(new NamedRoute(name, r)));
        Comparator<NamedRoute> longest =
                Comparator.comparingInt(w -> -w.route().pathPrefix().length());
        hosts.values().forEach(ways -> ways.sort(longest));
        if (meshConfig.tenants() != null) {
            meshConfig
                    .tenants()
                    .forEach((name, t) -> t.credentials().forEach(k -> keys.put(k, new NamedTenant(name, t))));
        }
    }

    /** The slot in which it was agreed on. */
    public long slot() {
        return slot;
    }

    /** What it was made from. */
    public MeshConfig config() {
        return meshConfig;
    }

    /** The route of a request, the one with the longest prefix; null if there is none. */
    public NamedRoute route(String authority, String path) {
        List<NamedRoute> ways = authority == null ? null : hosts.get(host(authority));
        if (ways == null) {
            return null;
        }
        int query = path.indexOf('?');
        String plain = query < 0 ? path : path.substring(0, query);
        for (NamedRoute way : ways) {
            if (plain.startsWith(way.route().pathPrefix())) {
                return way;
            }
        }
        return null;
    }

    /** Whether each endpoint of this service runs requests of the keys only that it was granted. */
    public boolean isDivided(String service) {
        MeshConfig.Service known = meshConfig.services().get(service);
        return known != null && known.divided();
    }

    /** Whether requests of routes that are not public need a key. */
    public boolean requiresKeys() {
        return meshConfig.tenants() != null && !meshConfig.tenants().isEmpty();
    }

    /** Whose key it is; null if nobody's. */
    public NamedTenant tenantOf(String key) {
        return key == null ? null : keys.get(key);
    }

    /** A host as it is compared: in lower case and without a port. */
    static String host(String authority) {
        int colon = authority.lastIndexOf(':');
        String name = colon > 0 && authority.indexOf(']', colon) < 0 ? authority.substring(0, colon) : authority;
        return name.toLowerCase(Locale.ROOT);
    }
}
