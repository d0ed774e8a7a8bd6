package whinlead.mesh.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** The registry's counts and per-service lists match its endpoint records. */
public class EndpointRegistryTest {
    private static final int NODES = 12;
    private static final List<String> SERVICES = List.of("one", "two", "three", "");

    private static Set<EndpointRecord> expectedEndpoints(EndpointRegistry endpointRegistry, String service) {
        Set<EndpointRecord> expected = new HashSet<>(endpointRegistry.all());
        expected.removeIf(endpointRecord -> endpointRecord.phase() == EndpointRecord.Phase.GONE
                || endpointRecord.endpoint().isEmpty()
                || !endpointRecord.target().equals(service));
        return expected;
    }

    private static EndpointRecord record(int node, long seq, EndpointRecord.Phase phase) {
        return new EndpointRecord("node-" + node, 1, seq, "zone", "endpoint", "one", phase, 6, 0);
    }

    // Regression: records of sidecars that had gone were kept for good, and new sidecars were ignored at the limit.
    @Test
    public void sidecarsThatHaveGoneMakeRoomForOthers() {
        EndpointRegistry registry = new EndpointRegistry();
        for (int node = 0; node < 2 * EndpointRegistry.MAX_NODES; node++) {
            assertTrue(registry.merge(record(node, 1, EndpointRecord.Phase.SERVING)), "node " + node);
            assertTrue(registry.merge(record(node, 2, EndpointRecord.Phase.GONE)));
        }
        assertEquals(registry.all().size(), EndpointRegistry.MAX_NODES);
        assertEquals(registry.presentCount(), 0);
    }

    @Test
    public void presentSidecarsAreKeptAtTheLimit() {
        EndpointRegistry registry = new EndpointRegistry();
        for (int node = 0; node < EndpointRegistry.MAX_NODES; node++) {
            registry.merge(record(node, 1, EndpointRecord.Phase.SERVING));
        }
        assertFalse(registry.merge(record(-1, 1, EndpointRecord.Phase.SERVING)));
        assertTrue(registry.merge(record(7, 2, EndpointRecord.Phase.DRAINING)), "known nodes are updated");
        assertEquals(registry.presentCount(), EndpointRegistry.MAX_NODES);
    }

    @Test
    public void indexesMatchFullScan() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            EndpointRegistry endpointRegistry = new EndpointRegistry();
            for (int i = 0; i < 400; i++) {
                endpointRegistry.merge(new EndpointRecord(
                        "node-" + random.nextInt(NODES),
                        random.nextInt(3),
                        random.nextInt(40),
                        "zone",
                        random.nextInt(4) == 0 ? "" : "endpoint",
                        SERVICES.get(random.nextInt(SERVICES.size())),
                        EndpointRecord.Phase.values()[random.nextInt(3)],
                        6,
                        0));
                long present = endpointRegistry.all().stream()
                        .filter(endpointRecord -> endpointRecord.phase() != EndpointRecord.Phase.GONE)
                        .count();
                assertEquals(endpointRegistry.presentCount(), present);
                for (String service : SERVICES) {
                    List<EndpointRecord> indexed = endpointRegistry.endpoints(service);
                    assertEquals(new HashSet<>(indexed), expectedEndpoints(endpointRegistry, service));
                    assertEquals(indexed.size(), new HashSet<>(indexed).size());
                }
            }
        }
    }
}
