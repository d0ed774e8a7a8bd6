package whinlead.mesh.keys;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which keys a control node leases to whom, as load comes, endpoints join and leave. */
public class KeyGrantorTest {
    private static final int NODES = 8;
    private static final int CAPACITY = 6;
    private static final int LOAD_PARTS = 16;

    /** A sidecar that takes and gives up all at once. */
    private final class Node {
        private final String name;
        private final KeyMap<LeasedKeys> held = new KeyMap<>();
        private final List<ReleasedKeys> released = new ArrayList<>();
        private boolean leaving;
        private int calls;

        private Node(String name) {
            this.name = name;
        }

        private void report() {
            List<HeldKeys> keys = held.entries().stream()
                    .map(each -> new HeldKeys(each.range(), each.value().fence(), true))
                    .toList();
            List<KeyLoad> loads = new ArrayList<>();
            double all = 0;
            for (KeyMap.Entry<LeasedKeys> each : held.entries()) {
                all += load(each.range());
            }
            for (KeyMap.Entry<LeasedKeys> each : held.entries()) {
                cut(each.range(), all / LOAD_PARTS, loads);
            }
            KeyReport report =
                    new KeyReport(1, ++calls, "s", "e-" + name, CAPACITY, leaving, all * 0.13, keys, released, loads);
            released.clear();
            grantor.report(now, name, report);
            grantor.plan(now);
            take(grantor.lease(now, name));
        }

        // Into parts of about the same load.
        private void cut(KeyRange range, double part, List<KeyLoad> loads) {
            int from = range.from();
            double sum = 0;
            for (int key = range.from(); key <= range.to(); key++) {
                double load = load(new KeyRange(key, key));
                if (sum > 0 && sum + load > part) {
                    loads.add(new KeyLoad(new KeyRange(from, key - 1), sum));
                    from = key;
                    sum = 0;
                }
                sum += load;
            }
            loads.add(new KeyLoad(new KeyRange(from, range.to()), sum));
        }

        private void take(KeyLease lease) {
            lease.leased().forEach(each -> held.put(each.range(), each));
            lease.recalled().stream()
                    .filter(each -> held.get(each.range().from()) != null)
                    .forEach(each -> {
                        held.remove(each.range());
                        released.add(new ReleasedKeys(each.range(), each.fence(), "h-" + each.fence()));
                        moved += each.range().size();
                    });
        }
    }

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private KeyGrantor grantor;
    private double now;
    private double perKey;
    private int moved;

    @BeforeMethod
    public void start() {
        nodes.clear();
        now = 0;
        perKey = 0;
        moved = 0;
        grantor = new KeyGrantor(0, 1, new FenceCounter(1), true);
        for (int i = 0; i < NODES; i++) {
            nodes.put("n" + i, new Node("n" + i));
        }
    }

    // The keys from 1000 to 1999 have ten times the load of others.
    private double load(KeyRange range) {
        double load = range.size() * perKey;
        KeyRange busy = new KeyRange(1000, 1999);
        return load + (range.overlaps(busy) ? range.intersection(busy).size() * 9 * perKey : 0);
    }

    private void run(double ms) {
        for (double end = now + ms; now < end; now += 250) {
            List.copyOf(nodes.values()).forEach(Node::report);
            grantor.takeDirty().forEach(name -> nodes.get(name).take(grantor.lease(now, name)));
        }
    }

    private int held() {
        int sum = 0;
        for (Node node : nodes.values()) {
            for (KeyMap.Entry<LeasedKeys> each : node.held.entries()) {
                sum += each.range().size();
            }
        }
        return sum;
    }

    private static int size(Node node) {
        return node.held.entries().stream()
                .mapToInt(each -> each.range().size())
                .sum();
    }

    @Test
    public void atTheStartAllGetTheSameAndNothingMovesWithoutAReason() {
        run(20_000);
        assertEquals(held(), KeyRange.MAX_KEY + 1);
        nodes.values().forEach(node -> assertEquals(size(node), (KeyRange.MAX_KEY + 1) / NODES));
        assertEquals(moved, 0);
    }

    @Test
    public void busyKeysAreSharedOutAndFewKeysMoveForIt() {
        run(5000);
        // In all 60% of the places, and over twice the places of the one that has the busy keys.
        perKey = 0.6 * NODES * CAPACITY / 0.13 / (KeyRange.MAX_KEY + 1 + 9000);
        run(10_000);
        double most = nodes.values().stream()
                .mapToDouble(node -> node.held.entries().stream()
                        .mapToDouble(each -> load(each.range()) * 0.13)
                        .sum())
                .max()
                .orElse(0);
        assertTrue(most < 0.9 * CAPACITY, "busy places of the busiest: " + most);
        assertTrue(moved < (KeyRange.MAX_KEY + 1) / 8, "keys moved: " + moved);
        assertEquals(
                held()
                        + nodes.values().stream()
                                .mapToInt(KeyGrantorTest::released)
                                .sum(),
                KeyRange.MAX_KEY + 1);
    }

    private static int released(Node node) {
        return node.released.stream().mapToInt(each -> each.range().size()).sum();
    }

    @Test
    public void oneThatLeavesIsEmptiedAtOnceAndItsHandoffGoesAlong() {
        run(5000);
        Node leaver = nodes.get("n3");
        leaver.leaving = true;
        run(1000);
        assertEquals(size(leaver), 0);
        assertEquals(held(), KeyRange.MAX_KEY + 1);
        run(2000);
        assertEquals(size(leaver), 0, "and gets none");
    }

    @Test
    public void oneThatJoinsGetsKeysWithinThreeSeconds() {
        run(5000);
        nodes.put("new", new Node("new"));
        run(3000);
        assertTrue(size(nodes.get("new")) > 0);
        run(10_000);
        assertEquals(held(), KeyRange.MAX_KEY + 1);
        assertTrue(moved <= (KeyRange.MAX_KEY + 1) / NODES, "keys moved: " + moved);
    }

    @Test
    public void keysOfOneThatIsSilentAreLeasedAnewOnceItsLeaseHasSurelyEnded() {
        run(5000);
        Node lost = nodes.remove("n5");
        double lostAt = now;
        KeyRange range = lost.held.entries().get(0).range();
        while (nodes.values().stream().noneMatch(node -> node.held.get(range.from()) != null)) {
            run(250);
        }
        assertTrue(now - lostAt >= KeyTerms.LEASE_MS - 250, "after " + (now - lostAt));
        assertTrue(now - lostAt <= KeyTerms.COUNTED_MS + 1000, "after " + (now - lostAt));
    }

    @Test
    public void aLaterTermLeasesNothingForAsLongAsALeaseMayLastButWhatIsHeld() {
        run(5000);
        Node silent = nodes.remove("n2");
        grantor = new KeyGrantor(now, 2, new FenceCounter(2), false);
        double startedAt = now;
        run(2000);
        assertEquals(held(), KeyRange.MAX_KEY + 1 - size(silent), "those that report keep theirs");
        run(startedAt + KeyTerms.COUNTED_MS - now - 250);
        assertEquals(held(), KeyRange.MAX_KEY + 1 - size(silent));
        run(1500);
        assertEquals(held(), KeyRange.MAX_KEY + 1);
    }
}
