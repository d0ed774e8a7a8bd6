package whinlead.mesh.sidecar;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import whinlead.engine.Timers;
import whinlead.mesh.keys.KeyRoute;
import whinlead.mesh.keys.KeyRoutes;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.settings.NodeSettings;

/**
 * The balancers of all services that requests were sent to, created on first use; their number is limited. Requests
 * with large bodies have separate balancers that prefer this zone, because they make up most of the traffic between
 * zones. Runs on the loop's thread.
 */
final class ServiceBalancers implements EgressListener.Balancers {
    /** Maximum number of services with a balancer. */
    static final int MAX_SERVICES = 256;
    /** Maximum number of key owners with a balancer. */
    private static final int MAX_OWNERS = 1024;

    /** A service and the node beside one of its endpoints that owns keys. */
    private record Owner(String service, String node) {}

    private final Timers periodTimers;
    private final RequestClasses classes;
    private final NodeSettings settings;
    private final EndpointRegistry registry;
    private final RequestForwarder forwarder;
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
    /** The balancers of sharded services, one for each owner: requests with its keys have no other endpoint. */
    private final Map<Owner, ServiceBalancer> ownerBalancers = new LinkedHashMap<>();

    private final KeyRoutes keyRoutes = new KeyRoutes();
    private final Map<String, ServiceBalancer> largeBodyBalancers = new HashMap<>();
    /** Retry budgets by service; both of its balancers share one. */
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

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
     * The balancer of a service.
     *
     * @param largeBodies whether it is for requests with large bodies
     */
    @Override
    public ServiceBalancer forService(String service, boolean largeBodies) {
        Map<String, ServiceBalancer> balancersOfKind = largeBodies ? largeBodyBalancers : balancers;
        ServiceBalancer existing = balancersOfKind.get(service);
        if (existing != null) {
            return existing;
        }
        if (balancersOfKind.size() >= MAX_SERVICES) {
            throw new IllegalStateException("balancers exist for " + MAX_SERVICES + " services, the maximum");
        }
        ServiceBalancer created = new ServiceBalancer(
                periodTimers,
                classes,
                settings,
                registry.presentCount(),
                new SecureRandom().nextLong(),
                forwarder,
                largeBodies ? settings.self().zone() : null,
                retryBudget(service));
        balancersOfKind.put(service, created);
        created.update(registry.endpoints(service));
        return created;
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
        ServiceBalancer created = new ServiceBalancer(
                periodTimers,
                classes,
                settings,
                registry.presentCount(),
                new SecureRandom().nextLong(),
                forwarder,
                null,
                retryBudget(owner.service));
        ownerBalancers.put(owner, created);
        created.updateOwner(ownerRecord(owner));
        return created;
    }

    private void removeFormerOwners() {
        ownerBalancers.keySet().removeIf(each -> !keyRoutes.owners(each.service).contains(each.node));
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
        if (keyRoutes.merge(service, routes) && ownerBalancers.size() > MAX_OWNERS / 2) {
            removeFormerOwners();
        }
    }

    private RetryBudget retryBudget(String service) {
        NodeSettings.Bounds bounds = settings.clauses().bounds();
        return retryBudgets.computeIfAbsent(service, name -> new RetryBudget(bounds.retryRatio(), bounds.retrySlack()));
    }

    /** The services that have a balancer, for normal and for large bodies. */
    List<Set<String>> servicesByBalancerKind() {
        return List.of(balancers.keySet(), largeBodyBalancers.keySet());
    }

    /** Sets the current endpoints of the balancers of these services. */
    void refresh(Set<String> services) {
        for (String service : services) {
            List<EndpointRecord> endpoints = registry.endpoints(service);
            Stream.of(balancers, largeBodyBalancers)
                    .map(balancersOfKind -> balancersOfKind.get(service))
                    .filter(Objects::nonNull)
                    .forEach(balancer -> balancer.update(endpoints));
        }
        ownerBalancers.forEach((owner, balancer) -> {
            if (services.contains(owner.service)) {
                balancer.updateOwner(ownerRecord(owner));
            }
        });
    }
}
