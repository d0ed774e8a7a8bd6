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
 * The part of a sidecar that serves its clients, from their connections to its ways to other sidecars, for rigs that
 * drive it by timers of their own. One thread.
 */
public final class ClientSide {
    private static final int SIDECARS = 4;

    private final Timers timers;
    private final NodeSettings nodeSettings;
    private final long seed;
    private final RequestForwarder forwarder;
    private final RequestClasses classes = new RequestClasses();
    private final Map<String, ServiceBalancer> balancers = new HashMap<>();
    private final EgressListener egress;
    private final Shutdown shutdown;

    /**
     * A sidecar's part with no endpoints.
     *
     * @param routing the configuration in force, or null
     * @param seed of what its modules draw
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
        QuotaClient quota = new QuotaClient(timers, new TenantQuota(rules, seed), () -> SIDECARS);
        this.egress = new EgressListener(
                null, timers, routing, (target, large) -> balancer(target), () -> "", () -> SIDECARS, quota, classes);
        this.shutdown = new Shutdown(timers, bounds.graceS(), egress, () -> 0);
    }

    private ServiceBalancer balancer(String target) {
        NodeSettings.Bounds bounds = nodeSettings.clauses().bounds();
        return balancers.computeIfAbsent(
                target,
                t -> new ServiceBalancer(
                        timers,
                        classes,
                        nodeSettings,
                        SIDECARS,
                        seed,
                        forwarder,
                        null,
                        new RetryBudget(bounds.retryRatio(), bounds.retrySlack())));
    }

    /** The endpoints of a service. */
    public void endpoints(String target, List<EndpointRecord> records) {
        balancer(target).update(records);
    }

    /** A client has connected. */
    public void accept(Channel connection) {
        egress.accept(connection);
    }

    /** Time has passed: connections that rest for too long are closed. */
    public void tick() {
        egress.tick();
    }

    /** SIGTERM. */
    public void terminate() {
        shutdown.begin();
    }

    /** Whether the process has ended since. */
    public boolean hasEnded() {
        return shutdown.hasEnded();
    }
}
