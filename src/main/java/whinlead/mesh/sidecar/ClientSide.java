package whinlead.mesh.sidecar;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import whinlead.engine.Timers;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.quota.QuotaRules;
import whinlead.mesh.quota.TenantQuota;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;

/**
 * The part of a sidecar that serves its clients, from their connections to the paths to other sidecars, for tests and
 * simulations that drive it by their own timers. Used by one thread.
 */
public final class ClientSide {
    private static final int SIDECAR_COUNT = 4;

    private final Timers timers;
    private final NodeSettings nodeSettings;
    private final long seed;
    private final RequestForwarder forwarder;
    private final RequestClasses classes = new RequestClasses();
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
    private final EgressListener egress;
    private final Shutdown shutdown;

    /**
     * Creates the client side of a sidecar without endpoints.
     *
     * @param routing the configuration in force, or null
     * @param seed seed of the random numbers that the decision modules draw
     */
    public ClientSide(
            Timers timers,
            NodeSettings nodeSettings,
            RequestForwarder forwarder,
            Supplier<RoutingTable> routing,
            long seed) {
        this.timers = timers;
        this.nodeSettings = nodeSettings;
        this.forwarder = forwarder;
        this.seed = seed;
        NodeSettings.Bounds bounds = nodeSettings.clauses().bounds();
        QuotaRules rules = new QuotaRules(bounds.quotaWindowS(), bounds.quotaExcess(), bounds.quotaSlack());
        QuotaClient quota = new QuotaClient(timers, new TenantQuota(rules, seed), () -> SIDECAR_COUNT);
        this.egress = new EgressListener(
                null,
                timers,
                routing,
                (target, largeBodies) -> balancer(target),
                () -> "",
                () -> SIDECAR_COUNT,
                quota,
                classes,
                new BodyBudget());
        this.shutdown = new Shutdown(timers, bounds.graceS(), egress, () -> 0);
    }

    private ServiceBalancer balancer(String target) {
        NodeSettings.Bounds bounds = nodeSettings.clauses().bounds();
        return balancers.computeIfAbsent(
                target,
                service -> new ServiceBalancer(
                        timers,
                        classes,
                        nodeSettings,
                        SIDECAR_COUNT,
                        seed,
                        forwarder,
                        null,
                        new RetryBudget(bounds.retryRatio(), bounds.retrySlack())));
    }

    /** Sets the endpoints of a service. */
    public void updateEndpoints(String target, List<EndpointRecord> records) {
        balancer(target).update(records);
    }

    /** Accepts a client's connection. */
    public void accept(Channel connection) {
        egress.accept(connection);
    }

    /** Called periodically: closes connections that are idle for too long. */
    public void tick() {
        egress.tick();
    }

    /** Begins the shutdown, as on SIGTERM. */
    public void terminate() {
        shutdown.begin();
    }

    /** Whether the shutdown is complete, so that the process would have ended. */
    public boolean hasEnded() {
        return shutdown.hasEnded();
    }
}
