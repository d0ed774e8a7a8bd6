package whinlead.mesh.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The keys that a control node leases to each node while load changes and endpoints join and leave. */
public class KeyGrantorTest {
    private static final int NODES = 8;
    private static final int CAPACITY = 6;
    private static final int LOAD_PARTS = 16;

    /** A sidecar that accepts and releases keys immediately. */
    private final class Node {
        private final String name;
        private final KeyMap<LeasedKeys> held = new KeyMap<>();
        private final List<ReleasedKeys> released = new ArrayList<>();
        private boolean leaving;
        private int reportCount;

        private Node(String name) {
            this.name = name;
        }

        private void report() {
            List<HeldKeys> heldKeys = held.entries().stream()
                    .map(each -> new HeldKeys(each.range(), each.value().fence(), true))
                    .toList();
            List<KeyLoad> loads = new ArrayList<>();
            double totalLoad = 0;
            for (KeyMap.Entry<LeasedKeys> each : held.entries()) {
                totalLoad += load(each.range());
            }
            for (KeyMap.Entry<LeasedKeys> each : held.entries()) {
                split(each.range(), totalLoad / LOAD_PARTS, loads);
            }
            KeyReport report = new KeyReport(
                    1, ++reportCount, "s", "e-" + name, CAPACITY, leaving, totalLoad * 0.13, heldKeys, released, loads);
            released.clear();
            grantor.handleReport(nowMs, name, report);
            grantor.plan(nowMs);
            apply(grantor.createLease(nowMs, name));
        }

        // Splits a range into parts with about the same load.
        private void split(KeyRange range, double loadPerPart, List<KeyLoad> loads) {
            int firstKey = range.firstKey();
            double sum = 0;
            for (int key = range.firstKey(); key <= range.lastKey(); key++) {
                double load = load(new KeyRange(key, key));
                if (sum > 0 && sum + load > loadPerPart) {
                    loads.add(new KeyLoad(new KeyRange(firstKey, key - 1), sum));
                    firstKey = key;
                    sum = 0;
                }
                sum += load;
            }
            loads.add(new KeyLoad(new KeyRange(firstKey, range.lastKey()), sum));
        }

        private void apply(KeyLease lease) {
            lease.leased().forEach(each -> held.put(each.range(), each));
            lease.recalled().stream()
                    .filter(each -> held.get(each.range().firstKey()) != null)
                    .forEach(each -> {
                        held.remove(each.range());
                        released.add(new ReleasedKeys(each.range(), each.fence(), "h-" + each.fence()));
                        movedKeys += each.range().size();
                    });
        }
    }

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private KeyGrantor grantor;
    private double nowMs;
    private double loadPerKey;
    private int movedKeys;

    @BeforeMethod
    public void start() {
        nodes.clear();
        nowMs = 0;
        loadPerKey = 0;
        movedKeys = 0;
        grantor = new KeyGrantor(0, 1, new FenceCounter(1), true);
        for (int i = 0; i < NODES; i++) {
            nodes.put("n" + i, new Node("n" + i));
        }
    }

    // The keys from 1000 to 1999 have ten times the load of others.
    private double load(KeyRange range) {
        double load = range.size() * loadPerKey;
        KeyRange busy = new KeyRange(1000, 1999);
        return load + (range.overlaps(busy) ? range.intersection(busy).size() * 9 * loadPerKey : 0);
    }

    private void runFor(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs += 250) {
            List.copyOf(nodes.values()).forEach(Node::report);
            grantor.takeNodesToNotify().forEach(name -> nodes.get(name).apply(grantor.createLease(nowMs, name)));
        }
    }

    private int heldKeyCount() {
        int sum = 0;
        for (Node node : nodes.values()) {
            for (KeyMap.Entry<LeasedKeys> each : node.held.entries()) {
                sum += each.range().size();
            }
        }
        return sum;
    }

    private static int keyCount(Node node) {
        return node.held.entries().stream()
                .mapToInt(each -> each.range().size())
                .sum();
    }

    @Test
    public void nodesGetEqualPartsInitiallyAndNoKeyMovesWithoutLoad() {
        runFor(20_000);
        assertEquals(heldKeyCount(), KeyRange.MAX_KEY + 1);
        nodes.values().forEach(node -> assertEquals(keyCount(node), (KeyRange.MAX_KEY + 1) / NODES));
        assertEquals(movedKeys, 0);
    }

    @Test
    public void busyKeysAreDistributedWithFewMoves() {
        runFor(5000);
        // 60% of all places, and more than twice the places of the node that has the busy keys.
        loadPerKey = 0.6 * NODES * CAPACITY / 0.13 / (KeyRange.MAX_KEY + 1 + 9000);
        runFor(10_000);
        double maxPlaces = nodes.values().stream()
                .mapToDouble(node -> node.held.entries().stream()
                        .mapToDouble(each -> load(each.range()) * 0.13)
                        .sum())
                .max()
                .orElse(0);
        assertTrue(maxPlaces < 0.9 * CAPACITY, "busy places of the busiest: " + maxPlaces);
        assertTrue(movedKeys < (KeyRange.MAX_KEY + 1) / 8, "keys moved: " + movedKeys);
        assertEquals(
                heldKeyCount()
                        + nodes.values().stream()
                                .mapToInt(KeyGrantorTest::releasedKeyCount)
                                .sum(),
                KeyRange.MAX_KEY + 1);
    }

    private static int releasedKeyCount(Node node) {
        return node.released.stream().mapToInt(each -> each.range().size()).sum();
    }

    @Test
    public void leavingNodeGivesUpItsKeysWithinASecond() {
        runFor(5000);
        Node leavingNode = nodes.get("n3");
        leavingNode.leaving = true;
        runFor(1000);
        assertEquals(keyCount(leavingNode), 0);
        assertEquals(heldKeyCount(), KeyRange.MAX_KEY + 1);
        runFor(2000);
        assertEquals(keyCount(leavingNode), 0, "a leaving node gets no keys");
    }

    @Test
    public void joiningNodeGetsKeysWithinThreeSeconds() {
        runFor(5000);
        nodes.put("new", new Node("new"));
        runFor(3000);
        assertTrue(keyCount(nodes.get("new")) > 0);
        runFor(10_000);
        assertEquals(heldKeyCount(), KeyRange.MAX_KEY + 1);
        assertTrue(movedKeys <= (KeyRange.MAX_KEY + 1) / NODES, "keys moved: " + movedKeys);
    }

    @Test
    public void keysOfASilentNodeAreReassignedAfterItsLeaseHasEnded() {
        runFor(5000);
        Node silentNode = nodes.remove("n5");
        double silentSinceMs = nowMs;
        KeyRange range = silentNode.held.entries().get(0).range();
        while (nodes.values().stream().noneMatch(node -> node.held.get(range.firstKey()) != null)) {
            runFor(250);
        }
        assertTrue(
                nowMs - silentSinceMs >= KeyTerms.LEASE_MS - 250,
                "lease ended after " + (nowMs - silentSinceMs) + " ms");
        assertTrue(
                nowMs - silentSinceMs <= KeyTerms.COUNTED_MS + 1000,
                "leased to another node after " + (nowMs - silentSinceMs) + " ms");
    }

    @Test
    public void newTermLeasesOnlyReportedKeysUntilEarlierLeasesHaveEnded() {
        runFor(5000);
        Node silentNode = nodes.remove("n2");
        grantor = new KeyGrantor(nowMs, 2, new FenceCounter(2), false);
        double startedAtMs = nowMs;
        runFor(2000);
        assertEquals(
                heldKeyCount(), KeyRange.MAX_KEY + 1 - keyCount(silentNode), "nodes that report retain their keys");
        runFor(startedAtMs + KeyTerms.COUNTED_MS - nowMs - 250);
        assertEquals(heldKeyCount(), KeyRange.MAX_KEY + 1 - keyCount(silentNode));
        runFor(1500);
        assertEquals(heldKeyCount(), KeyRange.MAX_KEY + 1);
    }
}
