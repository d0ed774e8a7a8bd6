package whinlead.mesh.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A configuration prepared for lookups: finds a request's route, service and tenant. Immutable. */
public final class RoutingTable {
    /** The slot before the first configuration. */
    public static final long NO_SLOT = 0;

    /** A route with its name. */
    public record NamedRoute(String name, MeshConfig.Route route) {
        /** Whether a request may run more than once. */
        public boolean isIdempotent() {
            return MeshConfig.IDEMPOTENT.equals(route.kind());
        }

        /**
         * Selects the service for one request.
         *
         * @param draw uniform from 0 to 1
         */
        public String service(double draw) {
            if (route.target() != null) {
                return route.target();
            }
            double remaining = draw
                    * route.shares().stream()
                            .mapToDouble(MeshConfig.Share::weight)
                            .sum();
            String selected = null;
            for (MeshConfig.Share share : route.shares()) {
                if (share.weight() > 0) {
                    selected = share.target();
                    remaining -= share.weight();
                    if (remaining < 0) {
                        break;
                    }
                }
            }
            return selected;
        }
    }

    /** A tenant with its name. */
    public record NamedTenant(String name, MeshConfig.Tenant tenant) {}

    private final MeshConfig meshConfig;
    private final long slot;
    private final Map<String, List<NamedRoute>> routesByHost = new HashMap<>();
    private final Map<String, NamedTenant> tenantsByKey = new HashMap<>();

    /** The routing table of a configuration that was agreed on in this slot. */
    public RoutingTable(long slot, MeshConfig meshConfig) {
        this.slot = slot;
        this.meshConfig = meshConfig;
        meshConfig
                .routes()
                .forEach((name, route) -> routesByHost
                        .computeIfAbsent(host(route.authority()), host -> new ArrayList<>())
                        .add(new NamedRoute(name, route)));
        Comparator<NamedRoute> longestPrefixFirst =
                Comparator.comparingInt(route -> -route.route().pathPrefix().length());
        routesByHost.values().forEach(routes -> routes.sort(longestPrefixFirst));
        if (meshConfig.tenants() != null) {
            meshConfig
                    .tenants()
                    .forEach((name, tenant) ->
                            tenant.credentials().forEach(key -> tenantsByKey.put(key, new NamedTenant(name, tenant))));
        }
    }

    /** The slot in which the configuration was agreed on. */
    public long slot() {
        return slot;
    }

    /** The configuration from which this table was made. */
    public MeshConfig config() {
        return meshConfig;
    }

    /** The route of a request, which is the one with the longest matching prefix; null if there is none. */
    public NamedRoute route(String authority, String path) {
        List<NamedRoute> routes = authority == null ? null : routesByHost.get(host(authority));
        if (routes == null) {
            return null;
        }
        int queryStart = path.indexOf('?');
        String pathWithoutQuery = queryStart < 0 ? path : path.substring(0, queryStart);
        for (NamedRoute route : routes) {
            if (pathWithoutQuery.startsWith(route.route().pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /** Whether each endpoint of this service runs only the requests of the keys that it was granted. */
    public boolean isDivided(String service) {
        MeshConfig.Service definition = meshConfig.services().get(service);
        return definition != null && definition.divided();
    }

    /** Whether requests of routes that are not public need a key. */
    public boolean requiresKeys() {
        return meshConfig.tenants() != null && !meshConfig.tenants().isEmpty();
    }

    /** The tenant to which a key belongs; null if there is none. */
    public NamedTenant tenantOf(String key) {
        return key == null ? null : tenantsByKey.get(key);
    }

    /** A host in the form used for comparison: in lower case and without a port. */
    static String host(String authority) {
        int colon = authority.lastIndexOf(':');
        String name = colon > 0 && authority.indexOf(']', colon) < 0 ? authority.substring(0, colon) : authority;
        return name.toLowerCase(Locale.ROOT);
    }
}
