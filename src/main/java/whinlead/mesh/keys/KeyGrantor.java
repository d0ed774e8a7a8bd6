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
 * once the first has said that it holds it no more, or its lease has ended by this process's clock, which counts it
 * from when it was sent. Of leases that earlier terms gave, only the nodes know: for as long as one may last, a term
 * leases nothing but what a node says that it holds.
 *
 * <p>Pure; one thread; times in milliseconds. Whoever asks must have read the clock just before, and must hold the duty
 * by the same reading.
 */
public final class KeyGrantor {
    /** Nodes that are kept at most. */
    private static final int MAX_NODES = 4096;
    /** Ranges that are kept at most; beyond, what is free stays free. */
    private static final int MAX_RANGES = 8192;
    /** A node that has said nothing for so long gets no further keys. */
    private static final double SILENT_MS = 2500;
    /** The first keys are shared out once no new endpoint has come for so long, or after a most. */
    private static final double SETTLE_MS = 900;

    private static final double MAX_SETTLE_MS = 4000;

    /** Whose a range of keys is. Immutable. */
    private record Owned(
            String node, long fence, String handoff, double countedUntil, boolean confirmed, String nextNode) {
        private Owned counted(double until) {
            return new Owned(node, fence, handoff, Math.max(countedUntil, until), confirmed, nextNode);
        }

        private Owned confirm() {
            return confirmed ? this : new Owned(node, fence, "", countedUntil, true, nextNode);
        }

        private Owned recalledFor(String next) {
            return new Owned(node, fence, handoff, countedUntil, confirmed, next);
        }

        private boolean recalled() {
            return nextNode != null;
        }
    }

    /** Free keys that were given up. */
    private record Freed(String handoff, String nextNode) {}

    private final long epoch;
    private final FenceCounter fences;
    private final double startedAt;
    private final double recoveredAt;
    private final KeyMap<Owned> owned = new KeyMap<>();
    private final KeyMap<Freed> freed = new KeyMap<>();
    private final Map<String, KeyNode> nodes = new LinkedHashMap<>();
    /** Nodes that are to be sent a lease now, besides those that report. */
    private final Set<String> dirty = new LinkedHashSet<>();

    private final List<KeyRoute> newRoutes = new ArrayList<>();
    private final KeyBalancer balancer = new KeyBalancer();
    private double joinedAt;
    private boolean shared;
    private long leases;

    /**
     * A term that begins.
     *
     * @param epoch of the term
     * @param fences gives fences, each higher than all before it and those of earlier terms
     * @param firstTerm whether nothing was ever leased before
     */
    public KeyGrantor(double now, long epoch, FenceCounter fences, boolean firstTerm) {
        this.epoch = epoch;
        this.fences = fences;
        this.startedAt = now;
        this.recoveredAt = firstTerm ? now : now + KeyTerms.COUNTED_MS;
        this.joinedAt = now;
    }

    /** A sidecar reports; false if the report is older than one before, or there is no room. */
    public boolean report(double now, String name, KeyReport report) {
        advance(now);
        KeyNode node = nodes.get(name);
        if (node == null && nodes.size() >= MAX_NODES) {
            return false;
        }
        if (node != null && node.isOutdated(report)) {
            return false;
        }
        // Another process or endpoint of a node frees nothing: the process before may have granted keys to this
        // endpoint.
        if (node == null || !node.endpoint().equals(report.endpoint())) {
            joinedAt = now;
        }
        if (node == null) {
            node = new KeyNode(now);
            nodes.put(name, node);
        }
        node.report(now, report);
        report.released().forEach(each -> free(name, each.range(), each.fence(), each.handoff()));
        report.held().forEach(each -> hold(now, name, each));
        return true;
    }

    private void hold(double now, String name, HeldKeys held) {
        if (now < recoveredAt) {
            for (KeyRange gap : owned.gaps(held.range())) {
                owned.put(gap, new Owned(name, held.fence(), "", now + KeyTerms.COUNTED_MS, false, null));
                freed.remove(gap);
                shared = true;
            }
        }
        if (held.serving()) {
            confirm(name, held);
        }
    }

    private void confirm(String name, HeldKeys held) {
        for (KeyMap.Entry<Owned> each : owned.overlapping(held.range())) {
            Owned value = each.value();
            if (value.node().equals(name) && value.fence() == held.fence() && !value.confirmed()) {
                owned.put(each.range(), value.confirm());
                newRoutes.add(new KeyRoute(each.range(), value.fence(), name));
            }
        }
    }

    private void free(String name, KeyRange range, long fence, String handoff) {
        for (KeyMap.Entry<Owned> each : owned.overlapping(range)) {
            Owned value = each.value();
            if (value.node().equals(name) && value.fence() <= fence) {
                owned.remove(each.range());
                freed.put(each.range(), new Freed(handoff, value.nextNode()));
            }
        }
    }

    /** Time passes: leases that have surely ended are over. */
    public void advance(double now) {
        for (KeyMap.Entry<Owned> each : owned.entries()) {
            if (each.value().countedUntil() <= now) {
                owned.remove(each.range());
                freed.put(each.range(), new Freed("", each.value().nextNode()));
            }
        }
        nodes.values().removeIf(node -> now - node.reportedAt() > KeyTerms.COUNTED_MS);
    }

    /** Plans who gets which keys; to be called a few times a second while the duty is held. */
    public void plan(double now) {
        advance(now);
        if (now < recoveredAt) {
            return;
        }
        Map<String, KeyNode> candidates = candidates(now);
        if (candidates.isEmpty() || !shared && !hasSettled(now)) {
            return;
        }
        if (!shared) {
            shared = true;
            balancer.shareOut(candidates).forEach((range, name) -> assign(now, range, name, ""));
            return;
        }
        shareOutFree(now, candidates);
        if (owned.size() < MAX_RANGES) {
            balancer.moves(now, ownedRanges(), nodes, candidates).forEach(this::recall);
        }
    }

    private boolean hasSettled(double now) {
        return now - joinedAt >= SETTLE_MS || now - startedAt >= MAX_SETTLE_MS;
    }

    // Those that may get keys.
    private Map<String, KeyNode> candidates(double now) {
        Map<String, KeyNode> candidates = new LinkedHashMap<>();
        nodes.forEach((name, node) -> {
            if (!node.leaving() && now - node.reportedAt() < SILENT_MS) {
                candidates.put(name, node);
            }
        });
        return candidates;
    }

    private Map<String, List<KeyRange>> ownedRanges() {
        Map<String, List<KeyRange>> ranges = new HashMap<>();
        for (KeyMap.Entry<Owned> each : owned.entries()) {
            if (!each.value().recalled()) {
                ranges.computeIfAbsent(each.value().node(), name -> new ArrayList<>())
                        .add(each.range());
            }
        }
        return ranges;
    }

    private void shareOutFree(double now, Map<String, KeyNode> candidates) {
        for (KeyRange gap : owned.gaps(KeyRange.ALL)) {
            List<KeyMap.Entry<Freed>> known = freed.overlapping(gap);
            for (KeyMap.Entry<Freed> each : known) {
                String next = each.value().nextNode();
                if (candidates.containsKey(next)) {
                    assign(now, each.range(), next, each.value().handoff());
                } else {
                    assignAnew(now, each.range(), candidates, each.value().handoff());
                }
            }
            for (KeyRange never : freed.gaps(gap)) {
                if (owned.gaps(never).contains(never)) {
                    assignAnew(now, never, candidates, "");
                }
            }
        }
    }

    private void assignAnew(double now, KeyRange range, Map<String, KeyNode> candidates, String handoff) {
        balancer.place(now, range, ownedRanges(), nodes, candidates)
                .forEach((part, name) -> assign(now, part, name, handoff));
    }

    private void assign(double now, KeyRange range, String name, String handoff) {
        owned.put(range, new Owned(name, fences.next(), handoff, now + KeyTerms.COUNTED_MS, false, null));
        freed.remove(range);
        dirty.add(name);
    }

    private void recall(KeyMove move) {
        for (KeyMap.Entry<Owned> each : owned.overlapping(move.range())) {
            if (each.value().node().equals(move.from()) && !each.value().recalled()) {
                owned.put(each.range(), each.value().recalledFor(move.to()));
            }
        }
        dirty.add(move.from());
    }

    /** Nodes that are to be sent a lease now; each is told once. */
    public List<String> takeDirty() {
        List<String> names = List.copyOf(dirty);
        dirty.clear();
        return names;
    }

    /** What a node is leased, as an answer to its last report; null where it has sent none. */
    public KeyLease lease(double now, String name) {
        advance(now);
        KeyNode node = nodes.get(name);
        if (node == null) {
            return null;
        }
        List<LeasedKeys> leased = new ArrayList<>();
        List<LeasedKeys> recalled = new ArrayList<>();
        for (KeyMap.Entry<Owned> each : owned.entries()) {
            Owned value = each.value();
            if (value.node().equals(name)) {
                LeasedKeys keys = new LeasedKeys(each.range(), value.fence(), value.handoff());
                if (value.recalled()) {
                    recalled.add(keys);
                } else {
                    leased.add(keys);
                    owned.put(each.range(), value.counted(now + KeyTerms.COUNTED_MS));
                }
            }
        }
        return new KeyLease(epoch, ++leases, node.sidecarLife(), node.reportNumber(), leased, recalled);
    }

    /** Routes to owners that have taken their keys since the last call. */
    public List<KeyRoute> takeNewRoutes() {
        List<KeyRoute> routes = List.copyOf(newRoutes);
        newRoutes.clear();
        return routes;
    }

    /** Routes to all owners that have taken their keys. */
    public List<KeyRoute> routes() {
        return owned.entries().stream()
                .filter(each -> each.value().confirmed())
                .map(each -> new KeyRoute(
                        each.range(), each.value().fence(), each.value().node()))
                .toList();
    }

    /** For events: how many ranges, nodes and free keys there are. */
    public String describe() {
        int free = owned.gaps(KeyRange.ALL).stream().mapToInt(KeyRange::size).sum();
        return owned.size() + " ranges at " + nodes.size() + " nodes, " + free + " keys free";
    }
}
