package whinlead.mesh.registry;

import static org.testng.Assert.assertEquals;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

/** That the counts and lists that a directory keeps are those of its listings. */
public class EndpointRegistryTest {
    private static final int NODES = 12;
    private static final List<String> SERVICES = List.of("one", "two", "three", "");

    private static Set<EndpointRecord> walked(EndpointRegistry directory, String service) {
        Set<EndpointRecord> open = new HashSet<>(directory.all());
        open.removeIf(l -> l.phase() == EndpointRecord.Phase.GONE || l.endpoint().isEmpty()
                || !l.target().equals(service));
        return open;
    }

    @Test
    public void whatIsKeptIsWhatAWalkFinds() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            EndpointRegistry directory = new EndpointRegistry();
            for (int i = 0; i < 400; i++) {
                directory.merge(new EndpointRecord("node-" + random.nextInt(NODES), random.nextInt(3),
                        random.nextInt(40), "zone", random.nextInt(4) == 0 ? "" : "endpoint",
                        SERVICES.get(random.nextInt(SERVICES.size())),
                        EndpointRecord.Phase.values()[random.nextInt(3)], 6, 0));
                long present = directory.all().stream().filter(l -> l.phase() != EndpointRecord.Phase.GONE).count();
                assertEquals(directory.present(), present);
                for (String service : SERVICES) {
                    List<EndpointRecord> kept = directory.endpoints(service);
                    assertEquals(new HashSet<>(kept), walked(directory, service));
                    assertEquals(kept.size(), new HashSet<>(kept).size());
                }
            }
        }
    }
}
