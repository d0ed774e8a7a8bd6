package whinlead.mesh.sidecar;

import whinlead.engine.Timers;
import whinlead.mesh.quota.Allowance;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.config.RoutingTable;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The part of a sidecar that serves its clients, from their connections to its ways to other sidecars, for
 * rigs that drive it by timers of their own. One thread.
 */
public final class ClientSide {
    private static final int SIDECARS = 4;

    private final Timers timers;
    private final NodeSettings card;
    private final long seed;
    private final Round round;
    private final Classes classes = new Classes();
    private final Map<String, Depot> depots = new HashMap<>();
    private final Egress egress;
    private final Shutdown shutdown;

    /**
     * A sidecar's part with no endpoints.
     *
     * @param routing the configuration in force, or null
     * @param seed of what its modules draw
     */
    public ClientSide(Timers timers, NodeSettings card, Round round, Supplier<RoutingTable> routing, long seed) {
        this.timers = timers;
        this.card = card;
        this.round = round;
        this.seed = seed;
        NodeSettings.Bounds bounds = card.clauses().bounds();
        Allowance allowance = new Allowance(timers.now(), bounds.quotaSlack(), bounds.quotaExcess(),
                bounds.quotaWindowS(), seed);
        this.egress = new Egress(null, timers, routing, (target, large) -> depot(target), () -> "",
                () -> SIDECARS, allowance, classes);
        this.shutdown = new Shutdown(timers, bounds.graceS(), egress, () -> 0);
    }

    private Depot depot(String target) {
        NodeSettings.Bounds bounds = card.clauses().bounds();
        return depots.computeIfAbsent(target, t -> new Depot(timers, classes, card, SIDECARS, seed, round,
                null, new Postage(bounds.retryRatio(), bounds.retrySlack())));
    }

    /** The endpoints of a service. */
    public void endpoints(String target, List<EndpointRecord> listings) {
        depot(target).update(listings);
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
