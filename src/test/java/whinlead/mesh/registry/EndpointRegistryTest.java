package whinlead.mesh.registry;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** That the counts and lists that a directory keeps are those of its endpoint records. */
public class EndpointRegistryTest {
    private static final int NODES = 12;
    private static final List<String> SERVICES = List.of("one", "two", "three", "");

    private static Set<EndpointRecord> walked(EndpointRegistry endpointRegistry, String service) {
        Set<EndpointRecord> open = new HashSet<>(endpointRegistry.all());
        open.removeIf(l -> l.phase() == EndpointRecord.Phase.GONE
                || l.endpoint().isEmpty()
                || !l.target().equals(service));
        return open;
    }

    @Test
    public void whatIsKeptIsWhatAWalkFinds() {
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
                        .filter(l -> l.phase() != EndpointRecord.Phase.GONE)
                        .count();
                assertEquals(endpointRegistry.presentCount(), present);
                for (String service : SERVICES) {
                    List<EndpointRecord> kept = endpointRegistry.endpoints(service);
                    assertEquals(new HashSet<>(kept), walked(endpointRegistry, service));
                    assertEquals(kept.size(), new HashSet<>(kept).size());
                }
            }
        }
    }
}
