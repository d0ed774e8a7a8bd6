package whinlead.testbed.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.replication.Placement;

/**
 * Simulated clients of all groups: requests arrive at each group as a Poisson process of its own. For the event loop,
 * but for what says otherwise.
 */
final class ClientTraffic {
    private static final double MICROS_PER_SECOND = 1e6;

    private final FleetContext context;
    private final List<FleetGroup> groups;
    private final Map<FleetGroup, OutageTimer> outageTimers;
    private final Placement placement;
    /** The group of each request that must not run twice, in the order sent. */
    private final Map<String, FleetGroup> owners = new LinkedHashMap<>();

    private final ServedCounter afterKill = new ServedCounter();
    private final ServedCounter otherwise = new ServedCounter();
    private int requests;
    private boolean running;

    /** Clients that are yet to begin. */
    ClientTraffic(FleetContext context, List<FleetGroup> groups, Map<FleetGroup, OutageTimer> outageTimers) {
        this.context = context;
        this.groups = groups;
        this.outageTimers = outageTimers;
        placement = new Placement(groups.stream().map(FleetGroup::name).toList());
    }

    /** Clients begin to send. Any thread but the event loop. */
    void start() {
        context.runOnLoop(() -> {
            running = true;
            groups.forEach(this::arrive);
        });
    }

    /** Clients send nothing new. Any thread but the event loop. */
    void stop() {
        context.runOnLoop(() -> running = false);
    }

    private void arrive(FleetGroup group) {
        if (running) {
            send(group);
            double untilNext = -Math.log(1 - context.random().nextDouble())
                    * MICROS_PER_SECOND
                    / context.plan().perSecond();
            context.loop().schedule(() -> arrive(group), (long) untilNext, TimeUnit.MICROSECONDS);
        }
    }

    private void send(FleetGroup arrivedAt) {
        String id = "r" + ++requests;
        FleetGroup owner = context.plan().site() ? ownerOf(id) : arrivedAt;
        RequestKind kind = RequestKind.random(context.random());
        if (!kind.safe()) {
            owners.put(id, owner);
        }
        OutageTimer outageTimer = outageTimers.get(owner);
        ServedCounter counter = outageTimer.recentlyKilled(context.now()) ? afterKill : otherwise;
        new ProxyRequest(context, id, kind, owner, outageTimer, counter).start();
    }

    private FleetGroup ownerOf(String requestId) {
        String name = placement.groupOf(requestId);
        return groups.stream()
                .filter(group -> group.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** The group of each request that must not run twice and did run. */
    Map<String, FleetGroup> ownersOfExecuted() {
        Map<String, FleetGroup> executed = new LinkedHashMap<>();
        owners.forEach((id, group) -> {
            if (context.ledger().runs(id) > 0) {
                executed.put(id, group);
            }
        });
        return executed;
    }

    /** Share served of the requests that were sent not long after a kill. */
    double servedAfterKill() {
        return ServedCounter.share(afterKill.served(), afterKill.sent());
    }

    /** Share served of all requests. */
    double served() {
        return ServedCounter.share(afterKill.served() + otherwise.served(), afterKill.sent() + otherwise.sent());
    }
}
