package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which keys go to which node: by capacity at first, then by load. Keys move for a reason only, as each move costs: a
 * node that leaves is emptied, one that comes gets a part, and one that is far busier than the others gives some away,
 * those first that have most load by key. Pure; one thread.
 */
final class KeyBalancer {
    /** A busy node gives keys away if it is also so many times as busy as the mean. */
    private static final double BUSIER = 1.35;
    /** Down to so many times the mean; and who takes them is not brought over that. */
    private static final double LEVEL = 1.1;
    /** A node that comes gets its first keys after so long, so that those that come together share. */
    private static final double JOIN_MS = 600;
    /** A node from which keys have gone is left alone for so long, until its figures show it. */
    private static final double REST_MS = 1200;
    /** Nodes that give keys away for their load at the same time, as a part of all. */
    private static final double DONORS_PART = 0.15;
    /** Parts with less than this of their owner's load by key stay: many keys would move for little. */
    private static final double USUAL_DENSITY = 0.9;
    /** Free keys without known load are cut into so many parts at most. */
    private static final int MAX_PARTS = 4;

    /** The first time: each node gets keys by its capacity. */
    Map<KeyRange, String> shareOut(Map<String, KeyNode> nodes) {
        double total = nodes.values().stream().mapToInt(KeyNode::capacity).sum();
        Map<KeyRange, String> parts = new LinkedHashMap<>();
        double sum = 0;
        int from = 0;
        for (Map.Entry<String, KeyNode> each : nodes.entrySet()) {
            sum += each.getValue().capacity();
            int to = (int) Math.round(sum / total * (KeyRange.MAX_KEY + 1)) - 1;
            if (to >= from) {
                parts.put(new KeyRange(from, to), each.getKey());
                from = to + 1;
            }
        }
        return parts;
    }

    /** Who gets these free keys: the least busy, in parts where they are many. */
    Map<KeyRange, String> place(
            double now,
            KeyRange range,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> nodes,
            Map<String, KeyNode> candidates) {
        int usual = (KeyRange.MAX_KEY + 1) / candidates.size();
        int parts = Math.max(1, Math.min(MAX_PARTS, (int) Math.ceil(2.0 * range.size() / usual)));
        Map<KeyRange, String> placed = new LinkedHashMap<>();
        int from = range.from();
        for (int i = 1; i <= parts; i++) {
            int to = range.from() + (int) ((long) range.size() * i / parts) - 1;
            KeyRange part = new KeyRange(from, to);
            from = to + 1;
            String least = leastBusy(now, candidates, owned);
            placed.put(part, least);
            // As if it had the mean load by key.
            double mean = totalPlaces(now, nodes) / (KeyRange.MAX_KEY + 1);
            candidates.get(least).moved(now, Math.max(mean, 1e-6) * part.size());
        }
        return placed;
    }

    private static double totalPlaces(double now, Map<String, KeyNode> nodes) {
        return nodes.values().stream().mapToDouble(node -> node.busyPlaces(now)).sum();
    }

    private static String leastBusy(double now, Map<String, KeyNode> candidates, Map<String, List<KeyRange>> owned) {
        return candidates.entrySet().stream()
                .min(Comparator.comparingDouble((Map.Entry<String, KeyNode> each) ->
                                each.getValue().utilization(now))
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
     * @param owned by node, what it owns and is not giving away already
     * @param candidates nodes that may get keys
     */
    List<KeyMove> moves(
            double now,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> nodes,
            Map<String, KeyNode> candidates) {
        List<KeyMove> moves = new ArrayList<>();
        owned.forEach((name, ranges) -> {
            KeyNode node = nodes.get(name);
            if (node != null && node.leaving()) {
                empty(now, name, node, ranges, owned, nodes, candidates, moves);
            }
        });
        join(now, owned, candidates, moves);
        relieve(now, owned, candidates, moves);
        return moves;
    }

    // All that a leaving node owns goes to the least busy, in the parts in which its load is known.
    private static void empty(
            double now,
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
            int before = moves.size();
            for (KeyLoad load : node.loads()) {
                if (range.from() <= load.range().from() && load.range().to() <= range.to()) {
                    give(now, load.range(), node.places(load), name, node, candidates, owned, moves);
                }
            }
            if (moves.size() == before) {
                double mean = totalPlaces(now, nodes) / (KeyRange.MAX_KEY + 1) * range.size();
                give(now, range, mean, name, node, candidates, owned, moves);
            }
        }
    }

    private static void give(
            double now,
            KeyRange range,
            double places,
            String from,
            KeyNode giver,
            Map<String, KeyNode> candidates,
            Map<String, List<KeyRange>> owned,
            List<KeyMove> moves) {
        String to = leastBusy(now, candidates, owned);
        moves.add(new KeyMove(range, from, to));
        giver.moved(now, -places);
        candidates.get(to).moved(now, Math.max(places, 1e-6));
    }

    // A node without keys gets some of the busiest one's: half of its load, or of its keys where none has any.
    private static void join(
            double now, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates, List<KeyMove> moves) {
        candidates.forEach((name, node) -> {
            boolean empty = keyCount(owned.get(name)) == 0 && now - node.movedAt() > 2 * REST_MS;
            if (!empty || now - node.knownSince() < JOIN_MS) {
                return;
            }
            String busiest = busiest(now, owned, candidates);
            if (busiest == null) {
                return;
            }
            KeyNode giver = candidates.get(busiest);
            double wanted = giver.busyPlaces(now) * node.capacity() / (node.capacity() + giver.capacity());
            if (giveLoad(now, busiest, giver, name, node, wanted, owned.get(busiest), moves) == 0) {
                KeyRange widest = owned.get(busiest).stream()
                        .max(Comparator.comparingInt(KeyRange::size))
                        .orElseThrow();
                if (widest.size() > 1) {
                    KeyRange half = new KeyRange(widest.from() + (widest.size() + 1) / 2, widest.to());
                    moves.add(new KeyMove(half, busiest, name));
                    giver.moved(now, 0);
                    node.moved(now, 1e-6);
                }
            }
        });
    }

    private static String busiest(double now, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates) {
        return candidates.entrySet().stream()
                .filter(each -> keyCount(owned.get(each.getKey())) > 1
                        && now - each.getValue().movedAt() > REST_MS)
                .max(Comparator.comparingDouble((Map.Entry<String, KeyNode> each) ->
                                each.getValue().utilization(now))
                        .thenComparingInt(each -> keyCount(owned.get(each.getKey()))))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private static void relieve(
            double now, Map<String, List<KeyRange>> owned, Map<String, KeyNode> candidates, List<KeyMove> moves) {
        int most = (int) Math.max(1, candidates.size() * DONORS_PART);
        double capacity =
                candidates.values().stream().mapToInt(KeyNode::capacity).sum();
        double mean = totalPlaces(now, candidates) / Math.max(1, capacity);
        for (int i = 0; i < most; i++) {
            String name = candidates.size() < 2 ? null : busiest(now, owned, candidates);
            KeyNode giver = name == null ? null : candidates.get(name);
            if (giver == null || !giver.isBusy(now) || giver.utilization(now) < BUSIER * mean) {
                return;
            }
            relieve(now, name, giver, mean, owned, candidates, moves);
        }
    }

    private static void relieve(
            double now,
            String name,
            KeyNode giver,
            double mean,
            Map<String, List<KeyRange>> owned,
            Map<String, KeyNode> candidates,
            List<KeyMove> moves) {
        // Even where nothing can be moved, it is looked at again only after a while.
        giver.moved(now, 0);
        while (giver.utilization(now) > LEVEL * mean) {
            String to = leastBusy(now, without(candidates, name), owned);
            KeyNode taker = candidates.get(to);
            double room = LEVEL * mean * taker.capacity() - taker.busyPlaces(now);
            double wanted = Math.min(room, giver.busyPlaces(now) - LEVEL * mean * giver.capacity());
            if (giveLoad(now, name, giver, to, taker, wanted, owned.get(name), moves) == 0) {
                return;
            }
        }
    }

    private static Map<String, KeyNode> without(Map<String, KeyNode> candidates, String name) {
        Map<String, KeyNode> others = new LinkedHashMap<>(candidates);
        others.remove(name);
        return others;
    }

    // Gives parts with no more load than that, those first that have most of it by key. Returns what they have.
    private static double giveLoad(
            double now,
            String from,
            KeyNode giver,
            String to,
            KeyNode taker,
            double wanted,
            List<KeyRange> ranges,
            List<KeyMove> moves) {
        List<KeyLoad> parts = new ArrayList<>(giver.loads());
        parts.removeIf(part -> isMoving(part, moves) || ranges.stream().noneMatch(range -> holds(range, part)));
        double usual = density(parts) * USUAL_DENSITY;
        parts.removeIf(part -> density(List.of(part)) < usual);
        parts.sort(Comparator.comparingDouble(part -> -density(List.of(part))));
        double given = 0;
        for (KeyLoad part : parts) {
            double places = giver.places(part);
            if (places > 0 && given + places <= wanted) {
                given += places;
                moves.add(new KeyMove(part.range(), from, to));
            }
        }
        if (given > 0) {
            giver.moved(now, -given);
            taker.moved(now, given);
        }
        return given;
    }

    // Requests a second by key.
    private static double density(List<KeyLoad> parts) {
        double perSecond = parts.stream().mapToDouble(KeyLoad::perSecond).sum();
        long keys = parts.stream().mapToLong(part -> part.range().size()).sum();
        return perSecond / Math.max(1, keys);
    }

    private static boolean holds(KeyRange range, KeyLoad part) {
        return range.from() <= part.range().from() && part.range().to() <= range.to();
    }

    private static boolean isMoving(KeyLoad part, List<KeyMove> moves) {
        return moves.stream().anyMatch(move -> move.range().overlaps(part.range()));
    }
}
