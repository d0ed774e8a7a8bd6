package whinlead.mesh.sidecar;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import whinlead.engine.Timers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;
import whinlead.mesh.settings.NodeSettings;

/**
 * The balancers of all services that requests were sent to, made as they are first asked for; bounded. Requests with
 * large bodies have a balancer of their own, which looks in this zone first, for they are most of the bytes between
 * zones. On the loop's thread.
 */
final class ServiceBalancers {
    /** Services that balancers are kept for. */
    static final int MAX_SERVICES = 256;

    private final Timers periodTimers;
    private final RequestClasses classes;
    private final NodeSettings settings;
    private final EndpointRegistry registry;
    private final RequestForwarder forwarder;
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
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
    ServiceBalancer of(String service, boolean large) {
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
    }
}
