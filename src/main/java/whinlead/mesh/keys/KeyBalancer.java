package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns keys to nodes: by capacity at first, then by load. Keys move only for a reason, because each move has a cost:
 * a leaving node gives up all its keys, a joining one gets some, and a node with far more load than the others gives
 * some away, those with the most load per key first. Pure; one thread.
 */
final class KeyBalancer {
    /** A busy node gives keys away if its utilization is also at least this many times the mean. */
    private static final double MIN_DONOR_RATIO = 1.35;
    /**
     * A node gives keys away until its utilization is this many times the mean; the receiving node is not brought above
     * that.
     */
    private static final double TARGET_RATIO = 1.1;
    /** Delay before a joining node gets its first keys, so that nodes that join together get equal parts. */
    private static final double JOIN_DELAY_MS = 600;
    /**
     * After keys were moved from a node, no more are moved from it for this time, until its reports show the effect.
     */
    private static final double COOLDOWN_MS = 1200;
    /** The fraction of all nodes that give keys away for their load at the same time. */
    private static final double MAX_DONORS_FRACTION = 0.15;
    /**
     * Parts whose load per key is below this fraction of their owner's mean are not moved: many keys would move for
     * little load.
     */
    private static final double MIN_DENSITY_RATIO = 0.9;
    /** Free keys without known load are split into at most this many parts. */
    private static final int MAX_PARTS = 4;

    /** The initial assignment: each node gets keys in proportion to its capacity. */
    Map<KeyRange, String> assignInitially(Map<String, KeyNode> nodes) {
        double totalCapacity =
                nodes.values().stream().mapToInt(KeyNode::capacity).sum();
        Map<KeyRange, String> assignment = new LinkedHashMap<>();
        double assignedCapacity = 0;
        int firstKey = 0;
        for (Map.Entry<String, KeyNode> each : nodes.entrySet()) {
            assignedCapacity += each.getValue().capacity();
            int lastKey = (int) Math.round(assignedCapacity / totalCapacity * (KeyRange.MAX_KEY + 1)) - 1;
            if (lastKey >= firstKey) {
                assignment.put(new KeyRange(firstKey, lastKey), each.getKey());
                firstKey = lastKey + 1;
            }
        }
        return assignment;
    }

    /** Assigns these free keys to the least busy nodes, in parts if there are many. */
    Map<KeyRange, String> assignFree(
            double nowMs,
            KeyRange range,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> nodes,
            Map<String, KeyNode> candidates) {
        int keysPerNode = (KeyRange.MAX_KEY + 1) / candidates.size();
        int parts = Math.max(1, Math.min(MAX_PARTS, (int) Math.ceil(2.0 * range.size() / keysPerNode)));
        Map<KeyRange, String> assignment = new LinkedHashMap<>();
        int firstKey = range.firstKey();
        for (int i = 1; i <= parts; i++) {
            int lastKey = range.firstKey() + (int) ((long) range.size() * i / parts) - 1;
            KeyRange part = new KeyRange(firstKey, lastKey);
            firstKey = lastKey + 1;
            String leastBusyNode = leastBusy(nowMs, candidates, owned);
            assignment.put(part, leastBusyNode);
            // Assumes the mean load per key.
            double meanPlacesPerKey = totalPlaces(nowMs, nodes) / (KeyRange.MAX_KEY + 1);
            candidates.get(leastBusyNode).recordMove(nowMs, Math.max(meanPlacesPerKey, 1e-6) * part.size());
        }
        return assignment;
    }

    private static double totalPlaces(double nowMs, Map<String, KeyNode> nodes) {
        return nodes.values().stream()
                .mapToDouble(node -> node.busyPlaces(nowMs))
                .sum();
    }

    private static String leastBusy(double nowMs, Map<String, KeyNode> candidates, Map<String, List<KeyRange>> owned) {
        return candidates.entrySet().stream()
                .min(Comparator.comparingDouble((Map.Entry<String, KeyNode> each) ->
                                each.getValue().utilization(nowMs))
                        .thenComparingInt(each -> keyCount(owned.get(each.getKey()))))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }

    private static int keyCount(List<KeyRange> ranges) {
        return ranges == null ? 0 : ranges.stream().mapToInt(KeyRange::size).sum();
    }

    /**
     * The moves that are due.
     *
     * @param owned by node, the keys that it owns and is not giving up already
     * @param candidates nodes that may get keys
     */
    List<KeyMove> planMoves(
            double nowMs,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> nodes,
            Map<String, KeyNode> candidates) {
        List<KeyMove> moves = new ArrayList<>();
        owned.forEach((name, ranges) -> {
            KeyNode node = nodes.get(name);
            if (node != null && node.isLeaving()) {
                planDrain(nowMs, name, node, ranges, owned, nodes, candidates, moves);
            }
        });
        planJoins(nowMs, owned, candidates, moves);
        relieve(nowMs, owned, candidates, moves);
        return moves;
    }

    // All keys of a leaving node go to the least busy nodes, in the parts for which its load is known.
    private static void planDrain(
            double nowMs,
            String name,
            KeyNode node,
            List<KeyRange> ranges,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> nodes,
            Map<String, KeyNode> candidates,
            List<KeyMove> moves) {
        if (candidates.isEmpty()) {
            return;
        }
        for (KeyRange range : ranges) {
            int movesBefore = moves.size();
            for (KeyLoad load : node.loads()) {
                if (range.firstKey() <= load.range().firstKey() && load.range().lastKey() <= range.lastKey()) {
                    addMove(nowMs, load.range(), node.places(load), name, node, candidates, owned, moves);
                }
            }
            if (moves.size() == movesBefore) {
                double expectedPlaces = totalPlaces(nowMs, nodes) / (KeyRange.MAX_KEY + 1) * range.size();
                addMove(nowMs, range, expectedPlaces, name, node, candidates, owned, moves);
            }
        }
    }

    private static void addMove(
            double nowMs,
            KeyRange range,
            double places,
            String donorName,
            KeyNode donor,
            Map<String, KeyNode> candidates,
            Map<String, List<KeyRange>> owned,
            List<KeyMove> moves) {
        String recipientName = leastBusy(nowMs, candidates, owned);
        moves.add(new KeyMove(range, donorName, recipientName));
        donor.recordMove(nowMs, -places);
        candidates.get(recipientName).recordMove(nowMs, Math.max(places, 1e-6));
    }

    // A node without keys gets some of the busiest node's: so many that their loads become equal in proportion to
    // capacity, or half of its widest range if no load is known.
    private static void planJoins(
            double nowMs, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates, List<KeyMove> moves) {
        candidates.forEach((name, node) -> {
            boolean isEmpty = keyCount(owned.get(name)) == 0 && nowMs - node.lastMoveMs() > 2 * COOLDOWN_MS;
            if (!isEmpty || nowMs - node.knownSinceMs() < JOIN_DELAY_MS) {
                return;
            }
            String donorName = busiest(nowMs, owned, candidates);
            if (donorName == null) {
                return;
            }
            KeyNode donor = candidates.get(donorName);
            double wantedPlaces = donor.busyPlaces(nowMs) * node.capacity() / (node.capacity() + donor.capacity());
            if (moveLoad(nowMs, donorName, donor, name, node, wantedPlaces, owned.get(donorName), moves) == 0) {
                KeyRange widestRange = owned.get(donorName).stream()
                        .max(Comparator.comparingInt(KeyRange::size))
                        .orElseThrow();
                if (widestRange.size() > 1) {
                    KeyRange upperHalf =
                            new KeyRange(widestRange.firstKey() + (widestRange.size() + 1) / 2, widestRange.lastKey());
                    moves.add(new KeyMove(upperHalf, donorName, name));
                    donor.recordMove(nowMs, 0);
                    node.recordMove(nowMs, 1e-6);
                }
            }
        });
    }

    private static String busiest(double nowMs, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates) {
        return candidates.entrySet().stream()
                .filter(each -> keyCount(owned.get(each.getKey())) > 1
                        && nowMs - each.getValue().lastMoveMs() > COOLDOWN_MS)
                .max(Comparator.comparingDouble((Map.Entry<String, KeyNode> each) ->
                                each.getValue().utilization(nowMs))
                        .thenComparingInt(each -> keyCount(owned.get(each.getKey()))))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private static void relieve(
            double nowMs, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates, List<KeyMove> moves) {
        int maxDonors = (int) Math.max(1, candidates.size() * MAX_DONORS_FRACTION);
        double capacity =
                candidates.values().stream().mapToInt(KeyNode::capacity).sum();
        double meanUtilization = totalPlaces(nowMs, candidates) / Math.max(1, capacity);
        for (int i = 0; i < maxDonors; i++) {
            String donorName = candidates.size() < 2 ? null : busiest(nowMs, owned, candidates);
            KeyNode donor = donorName == null ? null : candidates.get(donorName);
            if (donor == null || !donor.isBusy(nowMs) || donor.utilization(nowMs) < MIN_DONOR_RATIO * meanUtilization) {
                return;
            }
            relieve(nowMs, donorName, donor, meanUtilization, owned, candidates, moves);
        }
    }

    private static void relieve(
            double nowMs,
            String donorName,
            KeyNode donor,
            double meanUtilization,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> candidates,
            List<KeyMove> moves) {
        // Recorded even if nothing can be moved, so that the node is considered again only after the cooldown.
        donor.recordMove(nowMs, 0);
        while (donor.utilization(nowMs) > TARGET_RATIO * meanUtilization) {
            String recipientName = leastBusy(nowMs, without(candidates, donorName), owned);
            KeyNode recipient = candidates.get(recipientName);
            double roomPlaces = TARGET_RATIO * meanUtilization * recipient.capacity() - recipient.busyPlaces(nowMs);
            double wantedPlaces =
                    Math.min(roomPlaces, donor.busyPlaces(nowMs) - TARGET_RATIO * meanUtilization * donor.capacity());
            if (moveLoad(nowMs, donorName, donor, recipientName, recipient, wantedPlaces, owned.get(donorName), moves)
                    == 0) {
                return;
            }
        }
    }

    private static Map<String, KeyNode> without(Map<String, KeyNode> candidates, String name) {
        Map<String, KeyNode> others = new LinkedHashMap<>(candidates);
        others.remove(name);
        return others;
    }

    // Moves parts with at most the wanted load in total, those with the most load per key first. Returns the load
    // moved.
    private static double moveLoad(
            double nowMs,
            String donorName,
            KeyNode donor,
            String recipientName,
            KeyNode recipient,
            double wantedPlaces,
            List<KeyRange> donorRanges,
            List<KeyMove> moves) {
        List<KeyLoad> parts = new ArrayList<>(donor.loads());
        parts.removeIf(part -> isMoving(part, moves) || donorRanges.stream().noneMatch(range -> contains(range, part)));
        double minDensity = density(parts) * MIN_DENSITY_RATIO;
        parts.removeIf(part -> density(List.of(part)) < minDensity);
        parts.sort(Comparator.comparingDouble(part -> -density(List.of(part))));
        double movedPlaces = 0;
        for (KeyLoad part : parts) {
            double places = donor.places(part);
            if (places > 0 && movedPlaces + places <= wantedPlaces) {
                movedPlaces += places;
                moves.add(new KeyMove(part.range(), donorName, recipientName));
            }
        }
        if (movedPlaces > 0) {
            donor.recordMove(nowMs, -movedPlaces);
            recipient.recordMove(nowMs, movedPlaces);
        }
        return movedPlaces;
    }

    // Requests a second per key.
    private static double density(List<KeyLoad> parts) {
        double perSecond = parts.stream().mapToDouble(KeyLoad::perSecond).sum();
        long keys = parts.stream().mapToLong(part -> part.range().size()).sum();
        return perSecond / Math.max(1, keys);
    }

    private static boolean contains(KeyRange range, KeyLoad part) {
        return range.firstKey() <= part.range().firstKey() && part.range().lastKey() <= range.lastKey();
    }

    private static boolean isMoving(KeyLoad part, List<KeyMove> moves) {
        return moves.stream().anyMatch(move -> move.range().overlaps(part.range()));
    }
}
