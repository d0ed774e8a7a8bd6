package whinlead.mesh.sidecar;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import whinlead.engine.Timers;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.keys.KeyRoutes;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.settings.NodeSettings;

/**
 * The balancers of the services in the configuration in force, and of the last ones that have left it: a route may
 * return to its previous service, whose balancer then still knows its endpoints. Requests with large bodies have
 * separate balancers that prefer this zone, because they make up most of the traffic between zones. Runs on the loop's
 * thread.
 */
final class ServiceBalancers implements EgressListener.Balancers {
    /** Number of configured services whose balancers are created before their first request. */
    static final int MAX_PREPARED_SERVICES = 256;
    /** Maximum number of services that are no longer configured whose balancers are kept. */
    static final int MAX_FORMER_SERVICES = 32;
    /** Maximum number of key owners with a balancer. */
    private static final int MAX_OWNERS = 1024;

    /** A service and the node beside one of its endpoints that owns keys. */
    private record Owner(String service, String node) {}

    /** The balancers of one service, which share its retry budget; each is null until it is needed. */
    private static final class ServiceState {
        private final RetryBudget retryBudget;
        private ServiceBalancer balancer;
        private ServiceBalancer largeBodyBalancer;

        private ServiceState(RetryBudget retryBudget) {
            this.retryBudget = retryBudget;
        }

        private void update(List<EndpointRecord> endpoints) {
            if (balancer != null) {
                balancer.update(endpoints);
            }
            if (largeBodyBalancer != null) {
                largeBodyBalancer.update(endpoints);
            }
        }

        private void close() {
            if (balancer != null) {
                balancer.close();
            }
            if (largeBodyBalancer != null) {
                largeBodyBalancer.close();
            }
        }
    }

    private final Timers periodTimers;
    private final RequestClasses classes;
    private final NodeSettings settings;
    private final EndpointRegistry registry;
    private final RequestForwarder forwarder;
    private final Map<String, ServiceState> services = new HashMap<>();
    /** The services of the configuration in force. */
    private Set<String> configuredServices = Set.of();
    /** Services with state that are not configured, in the order in which they left the configuration. */
    private final Set<String> formerServices = new LinkedHashSet<>();
    /** The balancers of sharded services, one for each owner: requests with its keys have no other endpoint. */
    private final Map<Owner, ServiceBalancer> ownerBalancers = new LinkedHashMap<>();

    private final KeyRoutes keyRoutes = new KeyRoutes();

    /**
     * Creates the map without any balancer.
     *
     * @param periodTimers timers that align the periods of all balancers
     */
    ServiceBalancers(
            Timers periodTimers,
            RequestClasses classes,
            NodeSettings settings,
            EndpointRegistry registry,
            RequestForwarder forwarder) {
        this.periodTimers = periodTimers;
        this.classes = classes;
        this.settings = settings;
        this.registry = registry;
        this.forwarder = forwarder;
    }

    /**
     * Sets the services of the configuration in force. Creates balancers before the first requests, because creating a
     * module and its endpoint list takes a moment.
     */
    void configChanged(Set<String> newServices) {
        configuredServices = Set.copyOf(newServices);
        formerServices.removeAll(configuredServices);
        services.keySet().stream()
                .filter(service -> !configuredServices.contains(service))
                .forEach(formerServices::add);
        removeOldestFormerServices();
        newServices.stream().limit(MAX_PREPARED_SERVICES).forEach(service -> forService(service, false));
    }

    private void removeOldestFormerServices() {
        Iterator<String> oldestFirst = formerServices.iterator();
        while (formerServices.size() > MAX_FORMER_SERVICES) {
            String service = oldestFirst.next();
            oldestFirst.remove();
            services.remove(service).close();
            removeOwners(owner -> owner.service.equals(service));
        }
    }

    // The state of a service. A request may be for a service that has just left the configuration.
    private ServiceState state(String service) {
        ServiceState existing = services.get(service);
        if (existing != null) {
            return existing;
        }
        NodeSettings.Bounds bounds = settings.clauses().bounds();
        ServiceState created = new ServiceState(new RetryBudget(bounds.retryRatio(), bounds.retrySlack()));
        services.put(service, created);
        if (!configuredServices.contains(service)) {
            formerServices.add(service);
            removeOldestFormerServices();
        }
        return created;
    }

    /**
     * The balancer of a service.
     *
     * @param largeBodies whether it is for requests with large bodies
     */
    @Override
    public ServiceBalancer forService(String service, boolean largeBodies) {
        ServiceState state = state(service);
        ServiceBalancer existing = largeBodies ? state.largeBodyBalancer : state.balancer;
        if (existing != null) {
            return existing;
        }
        ServiceBalancer created = createBalancer(largeBodies ? settings.self().zone() : null, state.retryBudget);
        if (largeBodies) {
            state.largeBodyBalancer = created;
        } else {
            state.balancer = created;
        }
        created.update(registry.endpoints(service));
        return created;
    }

    private ServiceBalancer createBalancer(String preferredZone, RetryBudget retryBudget) {
        return new ServiceBalancer(
                periodTimers,
                classes,
                settings,
                registry.presentCount(),
                new SecureRandom().nextLong(),
                forwarder,
                preferredZone,
                retryBudget);
    }

    /** The balancer of the owner of a key; null if no owner is known. */
    @Override
    public ServiceBalancer forKey(String service, int key) {
        String node = keyRoutes.owner(service, key);
        return node == null ? null : ownerBalancer(new Owner(service, node));
    }

    private ServiceBalancer ownerBalancer(Owner owner) {
        ServiceBalancer existing = ownerBalancers.get(owner);
        if (existing != null) {
            return existing;
        }
        if (ownerBalancers.size() >= MAX_OWNERS) {
            removeFormerOwners();
        }
        if (ownerBalancers.size() >= MAX_OWNERS) {
            return null;
        }
        ServiceBalancer created = createBalancer(null, state(owner.service).retryBudget);
        ownerBalancers.put(owner, created);
        created.updateOwner(ownerRecord(owner));
        return created;
    }

    private void removeFormerOwners() {
        Map<String, Set<String>> ownersByService = new HashMap<>();
        removeOwners(owner -> !ownersByService
                .computeIfAbsent(owner.service, keyRoutes::owners)
                .contains(owner.node));
    }

    private void removeOwners(Predicate<Owner> condition) {
        Set<Owner> removed = new HashSet<>(ownerBalancers.keySet());
        removed.removeIf(condition.negate());
        removed.forEach(owner -> ownerBalancers.remove(owner).close());
    }

    private EndpointRecord ownerRecord(Owner owner) {
        EndpointRecord record = registry.find(owner.node);
        boolean present = record != null
                && record.target().equals(owner.service)
                && record.phase() != EndpointRecord.Phase.GONE
                && !record.endpoint().isEmpty();
        return present ? record : null;
    }

    /** Stores the owners of keys. */
    void routesReceived(String service, List<KeyRoute> routes) {
        if (keyRoutes.merge(service, routes, configuredServices::contains) && ownerBalancers.size() > MAX_OWNERS / 2) {
            removeFormerOwners();
        }
    }

    /** The services that have a balancer. */
    Set<String> services() {
        return services.keySet();
    }

    /** Sets the current endpoints of the balancers of these services. */
    void refresh(Set<String> outdatedServices) {
        for (String service : outdatedServices) {
            ServiceState state = services.get(service);
            if (state != null) {
                state.update(registry.endpoints(service));
            }
        }
        ownerBalancers.forEach((owner, balancer) -> {
            if (outdatedServices.contains(owner.service)) {
                balancer.updateOwner(ownerRecord(owner));
            }
        });
    }
}
