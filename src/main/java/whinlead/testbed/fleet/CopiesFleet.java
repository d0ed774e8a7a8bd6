package whinlead.testbed.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import whinlead.replication.wire.Wire;

/**
 * Replication groups of real sidecars, each a process, over links that fail: processes are killed, stopped and started
 * again while proxies consult them and resend to others on their own. One ledger over all of them holds what truly ran.
 * Blocks its caller; simulated clients run on one event loop.
 */
public final class CopiesFleet implements AutoCloseable {
    /**
     * What is played.
     *
     * @param members of each group
     * @param copies false for sidecars without replication: the same processes, which know nothing of each other
     * @param site whether all groups are one site's: whichever process is asked passes on what another group keeps, and
     *     processes replace members that stay away
     * @param disks whether members have disks that last, of which every second kill takes one
     * @param faults over all groups
     * @param perSecond requests to each group
     */
    public record Plan(
            int groups,
            int members,
            boolean copies,
            boolean site,
            boolean disks,
            int faults,
            double perSecond,
            long seed) {}

    /**
     * What came of it.
     *
     * @param gaps after each fault, milliseconds until its group let an unsafe or keyed request go out again
     * @param around served, of what was asked in the 5 s after a kill
     * @param served of all
     */
    public record Result(FleetLedger ledger, List<Double> gaps, double around, double served) {}

    /**
     * What came of processes that were lost at once for good.
     *
     * @param moved memberships that other processes have taken over
     * @param wholeMs until every group had all of its members again
     * @param saidBytes that all said to each other in that time, and of that snapshots
     */
    public record Loss(int lost, int moved, double wholeMs, long saidBytes, long snapshotBytes) {}

    private record Traffic(long bytes, long snapshotBytes) {}

    /** How long clients send before something is lost, or after, in milliseconds. */
    private static final double LOAD_MS = 5000;

    private static final int STARTS_AT_ONCE = 16;
    private static final double COMPLETE_TIMEOUT_MS = TimeUnit.SECONDS.toMillis(90);

    private final FleetContext context;
    private final FaultScript script;
    private final List<FleetNode> nodes = new ArrayList<>();
    private final List<FleetGroup> groups = new ArrayList<>();
    private final Map<FleetGroup, OutageTimer> outageTimers = new LinkedHashMap<>();
    private final List<FaultInjector> injectors = new ArrayList<>();
    private final List<Double> outages = new ArrayList<>();
    private final ClientTraffic clients;
    private int faultsLeft;

    /** A fleet that is yet to start, in a folder of its own. */
    public CopiesFleet(Plan plan) throws IOException {
        context = new FleetContext(plan);
        script = new FaultScript(plan.seed, plan.members, plan.disks);
        for (int number = 0; number < plan.groups; number++) {
            FleetGroup group = new FleetGroup(context, number, nodes);
            OutageTimer outageTimer = new OutageTimer(outages);
            groups.add(group);
            outageTimers.put(group, outageTimer);
            injectors.add(new FaultInjector(context, group, outageTimer));
        }
        clients = new ClientTraffic(context, groups, outageTimers);
    }

    /**
     * Plays it.
     *
     * @throws IOException if the processes can't be started, or a group is not complete long after its last fault
     */
    public Result play() throws IOException {
        start();
        faultsLeft = context.plan().faults;
        clients.start();
        while (faultsLeft > 0 || injectors.stream().anyMatch(FaultInjector::active)) {
            for (FaultInjector injector : injectors) {
                if (mayAdvance(injector)) {
                    advance(injector);
                }
            }
            FleetContext.pause();
        }
        awaitComplete();
        stopClients();
        if (context.plan().copies) {
            compareMembers();
        }
        return new Result(ledger(), outages, clients.servedAfterKill(), clients.served());
    }

    // A process of a site may be a member of several groups, which bear one loss each.
    private boolean mayAdvance(FaultInjector injector) {
        return !context.plan().site
                || injector.active()
                || injectors.stream()
                        .allMatch(other -> !other.active() && other.group().complete());
    }

    private void advance(FaultInjector injector) throws IOException {
        if (injector.active()) {
            injector.recoverIfDue();
        } else if (faultsLeft > 0 && injector.group().complete()) {
            injector.group().firstMembers().forEach(FleetNode::markHealthy);
            faultsLeft--;
            injector.inject(script.next());
        }
    }

    /**
     * Starts it, has proxies ask, and ends one process in so many at once and for good, each of another group.
     *
     * @throws IOException if a group is not complete again in time
     */
    public Loss lose(int oneIn) throws IOException {
        start();
        clients.start();
        context.sleep(LOAD_MS);
        Traffic before = traffic();
        List<FleetNode> lost = IntStream.range(0, nodes.size())
                .filter(i -> i % oneIn == 0)
                .mapToObj(nodes::get)
                .toList();
        for (FleetNode node : lost) {
            node.kill();
            node.deleteDisk();
        }
        double lostAt = context.now();
        context.runOnLoop(() -> outageTimers.values().forEach(timer -> timer.killed(lostAt)));
        awaitComplete();
        double completeMs = context.now() - lostAt;
        int moved = groups.stream().mapToInt(FleetGroup::replacedMembers).sum();
        Traffic after = traffic();
        stopClients();
        compareMembers();
        return new Loss(
                lost.size(), moved, completeMs, after.bytes - before.bytes, after.snapshotBytes - before.snapshotBytes);
    }

    /**
     * Starts it, the first process with a disk that is soon full, and has proxies ask until that process has left its
     * group and for a while longer; then all others are compared.
     *
     * @return the line with which it left
     * @throws IOException if it does not within a minute and a half
     */
    public String fill(long bytes) throws IOException {
        FleetNode full = nodes.get(0);
        full.process().fills(bytes);
        start();
        clients.start();
        double deadline = context.now() + COMPLETE_TIMEOUT_MS;
        while (full.stepDownLine().isEmpty()) {
            if (context.now() > deadline) {
                throw new IOException("its disk was not full in time; logs in " + context.root());
            }
            FleetContext.pause();
        }
        context.sleep(LOAD_MS);
        stopClients();
        full.retire();
        compareMembers();
        return full.stepDownLine();
    }

    /** What became of it, for who has played {@link #lose} or {@link #fill}. */
    public FleetLedger ledger() {
        return context.ledger();
    }

    private void start() throws IOException {
        nodes.forEach(FleetNode::openLinks);
        startProcesses();
        awaitComplete();
    }

    // So many at a time as there are processors for: all at once they would hold each other up.
    private void startProcesses() throws IOException {
        int started = 0;
        for (FleetNode node : nodes) {
            node.process().start();
            if (++started % STARTS_AT_ONCE == 0) {
                double deadline = context.now() + COMPLETE_TIMEOUT_MS;
                while (!node.ready() && context.now() < deadline) {
                    FleetContext.pause();
                }
            }
        }
    }

    private void awaitComplete() throws IOException {
        double deadline = context.now() + COMPLETE_TIMEOUT_MS;
        for (FleetGroup group : groups) {
            while (!group.complete()) {
                if (context.now() > deadline) {
                    ledger().broken("not whole again", group.describe());
                    throw new IOException("group " + group.number() + " is not whole; logs in " + context.root());
                }
                FleetContext.pause();
            }
        }
    }

    // Returns once no request can be under way any more.
    private void stopClients() throws IOException {
        clients.stop();
        context.sleep(2 * FleetContext.CLIENT_TIMEOUT_MS + FleetContext.SLACK_MS);
    }

    // Of the processes that live: what the dead have said is lost with them.
    private Traffic traffic() {
        long bytes = 0;
        long snapshotBytes = 0;
        for (FleetGroup group : groups) {
            for (FleetNode node : group.firstMembers()) {
                Optional<Wire.StatusReply> reply = node.liveStatus(group.name());
                bytes += reply.map(Wire.StatusReply::getSaidBytes).orElse(0L);
                snapshotBytes += reply.map(Wire.StatusReply::getSnapshotBytes).orElse(0L);
            }
        }
        return new Traffic(bytes, snapshotBytes);
    }

    // What each member holds of every request that ran: all have to tell the same.
    private void compareMembers() throws IOException {
        Map<String, FleetGroup> executed = new LinkedHashMap<>();
        context.runOnLoop(() -> executed.putAll(clients.ownersOfExecuted()));
        for (Map.Entry<String, FleetGroup> request : executed.entrySet()) {
            FleetGroup owner = request.getValue();
            List<String> replies = new ArrayList<>();
            for (FleetNode node : owner.members()) {
                if (!node.retired()) {
                    replies.add(node.knownReply(owner.name(), request.getKey()));
                }
            }
            context.runOnLoop(() -> compare(request.getKey(), replies));
        }
    }

    private void compare(String requestId, List<String> replies) {
        ledger().seen("ends compared");
        if (replies.stream().distinct().count() > 1 || !replies.get(0).startsWith("OVER")) {
            ledger().broken("ends that differ", requestId + " " + replies);
        }
    }

    /** Ends all processes; what they said is kept where something broke. */
    @Override
    public void close() throws IOException {
        nodes.forEach(FleetNode::close);
        context.close();
    }
}
