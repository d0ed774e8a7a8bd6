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
 * The balancers of all services that requests were sent to, made as they are first asked for; bounded. Requests with
 * large bodies have a balancer of their own, which looks in this zone first, for they are most of the bytes between
 * zones. On the loop's thread.
 */
final class ServiceBalancers implements EgressListener.Balancers {
    /** Services that balancers are kept for. */
    static final int MAX_SERVICES = 256;
    /** Owners of keys that balancers are kept for. */
    private static final int MAX_OWNERS = 1024;

    /** A service and the node beside an endpoint of it that owns keys. */
    private record Owner(String service, String node) {}

    private final Timers periodTimers;
    private final RequestClasses classes;
    private final NodeSettings settings;
    private final EndpointRegistry registry;
    private final RequestForwarder forwarder;
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
    /** Of services that are divided by key, one for each owner: a key's requests have no other endpoint. */
    private final Map<Owner, ServiceBalancer> ownerBalancers = new LinkedHashMap<>();

    private final KeyRoutes keyRoutes = new KeyRoutes();
    private final Map<String, ServiceBalancer> largeBodyBalancers = new HashMap<>();
    /** By service: both of its balancers share one. */
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

    /**
     * No balancers yet.
     *
     * @param periodTimers those on which all balancers' periods begin together
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
     * @param large whether it is for requests with large bodies
     */
    @Override
    public ServiceBalancer of(String service, boolean large) {
        Map<String, ServiceBalancer> kind = large ? largeBodyBalancers : balancers;
        ServiceBalancer known = kind.get(service);
        if (known != null) {
            return known;
        }
        if (kind.size() >= MAX_SERVICES) {
            throw new IllegalStateException("over " + MAX_SERVICES + " services");
        }
        ServiceBalancer made = new ServiceBalancer(
                periodTimers,
                classes,
                settings,
                registry.presentCount(),
                new SecureRandom().nextLong(),
                forwarder,
                large ? settings.self().zone() : null,
                retryBudget(service));
        kind.put(service, made);
        made.update(registry.endpoints(service));
        return made;
    }

    /** The balancer of the owner of a key; null if none is known. */
    @Override
    public ServiceBalancer ofKey(String service, int key) {
        String node = keyRoutes.owner(service, key);
        return node == null ? null : ofOwner(new Owner(service, node));
    }

    private ServiceBalancer ofOwner(Owner owner) {
        ServiceBalancer known = ownerBalancers.get(owner);
        if (known != null) {
            return known;
        }
        if (ownerBalancers.size() >= MAX_OWNERS) {
            retainOwners();
        }
        if (ownerBalancers.size() >= MAX_OWNERS) {
            return null;
        }
        ServiceBalancer made = new ServiceBalancer(
                periodTimers,
                classes,
                settings,
                registry.presentCount(),
                new SecureRandom().nextLong(),
                forwarder,
                null,
                retryBudget(owner.service));
        ownerBalancers.put(owner, made);
        made.updateOwner(ownerRecord(owner));
        return made;
    }

    private void retainOwners() {
        ownerBalancers.keySet().removeIf(each -> !keyRoutes.owners(each.service).contains(each.node));
    }

    private EndpointRecord ownerRecord(Owner owner) {
        EndpointRecord record = registry.find(owner.node);
        boolean there = record != null
                && record.target().equals(owner.service)
                && record.phase() != EndpointRecord.Phase.GONE
                && !record.endpoint().isEmpty();
        return there ? record : null;
    }

    /** Routes by key have come. */
    void routesReceived(String service, List<KeyRoute> routes) {
        if (keyRoutes.merge(service, routes) && ownerBalancers.size() > MAX_OWNERS / 2) {
            retainOwners();
        }
    }

    private RetryBudget retryBudget(String service) {
        NodeSettings.Bounds bounds = settings.clauses().bounds();
        return retryBudgets.computeIfAbsent(service, name -> new RetryBudget(bounds.retryRatio(), bounds.retrySlack()));
    }

    /** The services that have a balancer, for usual and for large bodies. */
    List<Set<String>> services() {
        return List.of(balancers.keySet(), largeBodyBalancers.keySet());
    }

    /** Gives the balancers of these services their endpoints anew. */
    void refresh(Set<String> services) {
        for (String service : services) {
            List<EndpointRecord> endpoints = registry.endpoints(service);
            Stream.of(balancers, largeBodyBalancers)
                    .map(kind -> kind.get(service))
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
