package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Leases the keys of one service to the sidecars beside its endpoints, in one term of one control node.
 *
 * <p>Invariant: no key is leased to two nodes at the same time. A key that was leased is leased to another node only
 * after the first has reported that it has released the key, or after its lease has ended by this process's clock,
 * which counts the lease from when it was sent. Leases that earlier terms granted are known only to the nodes: for as
 * long as one may last, a term leases only keys that a node reports as its own.
 *
 * <p>Pure; one thread; times in milliseconds. Callers must have read the clock just before each call, and must hold the
 * duty at that reading.
 */
public final class KeyGrantor {
    /** Limit on the nodes that are stored. */
    private static final int MAX_NODES = 4096;
    /** Limit on the ranges that are stored; beyond it, free keys stay free. */
    private static final int MAX_RANGES = 8192;
    /** A node that has not reported for this long gets no further keys. */
    private static final double MAX_SILENCE_MS = 2500;
    /**
     * The initial assignment is made once no new endpoint has reported for this long, or after
     * {@link #MAX_SETTLE_DELAY_MS}.
     */
    private static final double SETTLE_DELAY_MS = 900;

    private static final double MAX_SETTLE_DELAY_MS = 4000;

    /** The owner of a range of keys. Immutable. */
    private record Ownership(
            String node, long fence, String handoff, double countedUntilMs, boolean confirmed, String nextNode) {
        private Ownership countedAtLeastUntil(double untilMs) {
            return new Ownership(node, fence, handoff, Math.max(countedUntilMs, untilMs), confirmed, nextNode);
        }

        private Ownership withConfirmation() {
            return confirmed ? this : new Ownership(node, fence, "", countedUntilMs, true, nextNode);
        }

        private Ownership recalledFor(String newNextNode) {
            return new Ownership(node, fence, handoff, countedUntilMs, confirmed, newNextNode);
        }

        private boolean isRecalled() {
            return nextNode != null;
        }
    }

    /** Free keys that were released or whose lease has ended. */
    private record FreeKeys(String handoff, String nextNode) {}

    private final long epoch;
    private final FenceCounter fences;
    private final double startedAtMs;
    private final double recoveredAtMs;
    private final KeyMap<Ownership> ownerships = new KeyMap<>();
    private final KeyMap<FreeKeys> freeKeys = new KeyMap<>();
    private final Map<String, KeyNode> nodes = new LinkedHashMap<>();
    /** Nodes that are to be sent a lease now, besides those that report. */
    private final Set<String> nodesToNotify = new LinkedHashSet<>();

    private final List<KeyRoute> newRoutes = new ArrayList<>();
    private final KeyBalancer balancer = new KeyBalancer();
    private double lastJoinMs;
    private boolean hasAssignedKeys;
    private long leaseCount;

    /**
     * Creates the grantor of a new term.
     *
     * @param epoch of the term
     * @param fences generates fences, each higher than all before it and those of earlier terms
     * @param firstTerm whether nothing was ever leased before
     */
    public KeyGrantor(double nowMs, long epoch, FenceCounter fences, boolean firstTerm) {
        this.epoch = epoch;
        this.fences = fences;
        this.startedAtMs = nowMs;
        this.recoveredAtMs = firstTerm ? nowMs : nowMs + KeyTerms.COUNTED_MS;
        this.lastJoinMs = nowMs;
    }

    /** Handles a sidecar's report; returns false if the report is older than an earlier one, or if there is no room. */
    public boolean handleReport(double nowMs, String name, KeyReport report) {
        advance(nowMs);
        KeyNode node = nodes.get(name);
        if (node == null && nodes.size() >= MAX_NODES) {
            return false;
        }
        if (node != null && node.isOutdated(report)) {
            return false;
        }
        // A new process or endpoint of a node does not free keys: the previous process may have granted keys to this
        // endpoint.
        if (node == null || !node.endpoint().equals(report.endpoint())) {
            lastJoinMs = nowMs;
        }
        if (node == null) {
            node = new KeyNode(nowMs);
            nodes.put(name, node);
        }
        node.update(nowMs, report);
        report.released().forEach(each -> releaseKeys(name, each.range(), each.fence(), each.handoff()));
        report.held().forEach(each -> recordHeldKeys(nowMs, name, each));
        return true;
    }

    private void recordHeldKeys(double nowMs, String name, HeldKeys held) {
        if (nowMs < recoveredAtMs) {
            for (KeyRange unownedRange : ownerships.gaps(held.range())) {
                ownerships.put(
                        unownedRange, new Ownership(name, held.fence(), "", nowMs + KeyTerms.COUNTED_MS, false, null));
                freeKeys.remove(unownedRange);
                hasAssignedKeys = true;
            }
        }
        if (held.serving()) {
            confirmOwnership(name, held);
        }
    }

    private void confirmOwnership(String name, HeldKeys held) {
        for (KeyMap.Entry<Ownership> each : ownerships.overlapping(held.range())) {
            Ownership value = each.value();
            if (value.node().equals(name) && value.fence() == held.fence() && !value.confirmed()) {
                ownerships.put(each.range(), value.withConfirmation());
                newRoutes.add(new KeyRoute(each.range(), value.fence(), name));
            }
        }
    }

    private void releaseKeys(String name, KeyRange range, long fence, String handoff) {
        for (KeyMap.Entry<Ownership> each : ownerships.overlapping(range)) {
            Ownership value = each.value();
            if (value.node().equals(name) && value.fence() <= fence) {
                ownerships.remove(each.range());
                freeKeys.put(each.range(), new FreeKeys(handoff, value.nextNode()));
            }
        }
    }

    /** Advances the time: removes leases that have certainly ended. */
    public void advance(double nowMs) {
        for (KeyMap.Entry<Ownership> each : ownerships.entries()) {
            if (each.value().countedUntilMs() <= nowMs) {
                ownerships.remove(each.range());
                freeKeys.put(each.range(), new FreeKeys("", each.value().nextNode()));
            }
        }
        nodes.values().removeIf(node -> nowMs - node.reportedAtMs() > KeyTerms.COUNTED_MS);
    }

    /** Plans which node gets which keys; to be called a few times a second while this node holds the duty. */
    public void plan(double nowMs) {
        advance(nowMs);
        if (nowMs < recoveredAtMs) {
            return;
        }
        Map<String, KeyNode> candidates = candidates(nowMs);
        if (candidates.isEmpty() || !hasAssignedKeys && !hasSettled(nowMs)) {
            return;
        }
        if (!hasAssignedKeys) {
            hasAssignedKeys = true;
            balancer.assignInitially(candidates).forEach((range, name) -> assign(nowMs, range, name, ""));
            return;
        }
        assignFreeKeys(nowMs, candidates);
        if (ownerships.size() < MAX_RANGES) {
            balancer.planMoves(nowMs, ownedRanges(), nodes, candidates).forEach(this::recall);
        }
    }

    private boolean hasSettled(double nowMs) {
        return nowMs - lastJoinMs >= SETTLE_DELAY_MS || nowMs - startedAtMs >= MAX_SETTLE_DELAY_MS;
    }

    // Nodes that may get keys.
    private Map<String, KeyNode> candidates(double nowMs) {
        Map<String, KeyNode> candidates = new LinkedHashMap<>();
        nodes.forEach((name, node) -> {
            if (!node.isLeaving() && nowMs - node.reportedAtMs() < MAX_SILENCE_MS) {
                candidates.put(name, node);
            }
        });
        return candidates;
    }

    private Map<String, List<KeyRange>> ownedRanges() {
        Map<String, List<KeyRange>> ranges = new HashMap<>();
        for (KeyMap.Entry<Ownership> each : ownerships.entries()) {
            if (!each.value().isRecalled()) {
                ranges.computeIfAbsent(each.value().node(), name -> new ArrayList<>())
                        .add(each.range());
            }
        }
        return ranges;
    }

    private void assignFreeKeys(double nowMs, Map<String, KeyNode> candidates) {
        for (KeyRange gap : ownerships.gaps(KeyRange.ALL)) {
            List<KeyMap.Entry<FreeKeys>> releasedRanges = freeKeys.overlapping(gap);
            for (KeyMap.Entry<FreeKeys> each : releasedRanges) {
                String nextNode = each.value().nextNode();
                if (candidates.containsKey(nextNode)) {
                    assign(nowMs, each.range(), nextNode, each.value().handoff());
                } else {
                    assignByLoad(nowMs, each.range(), candidates, each.value().handoff());
                }
            }
            for (KeyRange unassignedRange : freeKeys.gaps(gap)) {
                if (ownerships.gaps(unassignedRange).contains(unassignedRange)) {
                    assignByLoad(nowMs, unassignedRange, candidates, "");
                }
            }
        }
    }

    private void assignByLoad(double nowMs, KeyRange range, Map<String, KeyNode> candidates, String handoff) {
        balancer.assignFree(nowMs, range, ownedRanges(), nodes, candidates)
                .forEach((part, name) -> assign(nowMs, part, name, handoff));
    }

    // Without a fence the keys stay free until the next term.
    private void assign(double nowMs, KeyRange range, String name, String handoff) {
        if (fences.isExhausted()) {
            return;
        }
        ownerships.put(range, new Ownership(name, fences.next(), handoff, nowMs + KeyTerms.COUNTED_MS, false, null));
        freeKeys.remove(range);
        nodesToNotify.add(name);
    }

    private void recall(KeyMove move) {
        for (KeyMap.Entry<Ownership> each : ownerships.overlapping(move.range())) {
            if (each.value().node().equals(move.fromNode()) && !each.value().isRecalled()) {
                ownerships.put(each.range(), each.value().recalledFor(move.toNode()));
            }
        }
        nodesToNotify.add(move.fromNode());
    }

    /** Whether nothing is leased and no node has reported for as long as a lease may last. */
    public boolean isIdle(double nowMs) {
        advance(nowMs);
        return nodes.isEmpty() && ownerships.isEmpty() && nowMs - startedAtMs > KeyTerms.COUNTED_MS;
    }

    /** Returns the nodes that are to be sent a lease now, each once. */
    public List<String> takeNodesToNotify() {
        List<String> names = List.copyOf(nodesToNotify);
        nodesToNotify.clear();
        return names;
    }

    /** The lease of a node as an answer to its last report; null if it has not reported. */
    public KeyLease createLease(double nowMs, String name) {
        advance(nowMs);
        KeyNode node = nodes.get(name);
        if (node == null) {
            return null;
        }
        List<LeasedKeys> leasedKeys = new ArrayList<>();
        List<LeasedKeys> recalledKeys = new ArrayList<>();
        for (KeyMap.Entry<Ownership> each : ownerships.entries()) {
            Ownership value = each.value();
            if (value.node().equals(name)) {
                LeasedKeys keys = new LeasedKeys(each.range(), value.fence(), value.handoff());
                if (value.isRecalled()) {
                    recalledKeys.add(keys);
                } else {
                    leasedKeys.add(keys);
                    ownerships.put(each.range(), value.countedAtLeastUntil(nowMs + KeyTerms.COUNTED_MS));
                }
            }
        }
        return new KeyLease(epoch, ++leaseCount, node.sidecarLife(), node.reportNumber(), leasedKeys, recalledKeys);
    }

    /** Routes to owners whose endpoints have accepted their keys since the last call. */
    public List<KeyRoute> takeNewRoutes() {
        List<KeyRoute> routes = List.copyOf(newRoutes);
        newRoutes.clear();
        return routes;
    }

    /** Routes to all owners whose endpoints have accepted their keys. */
    public List<KeyRoute> routes() {
        return ownerships.entries().stream()
                .filter(each -> each.value().confirmed())
                .map(each -> new KeyRoute(
                        each.range(), each.value().fence(), each.value().node()))
                .toList();
    }

    /** Describes the numbers of ranges, nodes and free keys for log events. */
    public String describe() {
        int free =
                ownerships.gaps(KeyRange.ALL).stream().mapToInt(KeyRange::size).sum();
        return ownerships.size() + " ranges at " + nodes.size() + " nodes, " + free + " keys free";
    }
}
