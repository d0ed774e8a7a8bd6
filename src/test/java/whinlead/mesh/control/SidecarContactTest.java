package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/** What a control node concludes from when it heard of sidecars, and what it repeats to the others. */
public class SidecarContactTest {
    /** How often a sidecar says its endpoint record again. */
    private static final double SAY_MS = 3100;

    private static final String NODE = "10.0.0.1:80";

    private static EndpointRecord record(long seq, EndpointRecord.Phase phase) {
        return new EndpointRecord(NODE, 1, seq, "zone", "endpoint", "service", phase, 6, 0);
    }

    private static EndpointRegistry registry() {
        EndpointRegistry endpointRegistry = new EndpointRegistry();
        endpointRegistry.merge(record(1, EndpointRecord.Phase.SERVING));
        return endpointRegistry;
    }

    // One control node is said the endpoint record, and the other hears of it from that one alone, which loses each
    // second repetition.
    @Test
    public void aSidecarThatOneControlNodeReachesIsNotSilentAtTheOthers() {
        EndpointRegistry endpointRegistry = registry();
        SidecarContact near = new SidecarContact();
        SidecarContact far = new SidecarContact();
        far.heard(0, NODE, false);
        int repeated = 0;
        double said = Double.NEGATIVE_INFINITY;
        for (int i = 1; i <= 60; i++) {
            double now = i * SidecarContact.REPEAT_MS;
            while (said + SAY_MS <= now) {
                said = Math.max(0, said + SAY_MS);
                near.heard(said, NODE, true);
            }
            List<EndpointRecord> fresh = near.fresh(now, endpointRegistry);
            assertEquals(fresh.size(), 1, "repeated at " + now);
            if (i % 2 == 0) {
                repeated++;
                assertEquals(far.lost(now, endpointRegistry), List.of(), "at " + now);
                far.heard(now, NODE, false);
            }
        }
        assertEquals(repeated, 30);
        assertEquals(far.fresh(300_000, endpointRegistry), List.of(), "what another said is not repeated");
    }

    @Test
    public void aSilentSidecarIsGoneByANumberThatItCanRefute() {
        EndpointRegistry endpointRegistry = registry();
        SidecarContact contact = new SidecarContact();
        contact.heard(1000, NODE, true);
        assertEquals(contact.lost(1000 + SidecarContact.SILENT_MS, endpointRegistry), List.of());
        List<EndpointRecord> lost = contact.lost(1001 + SidecarContact.SILENT_MS, endpointRegistry);
        assertEquals(lost, List.of(record(2, EndpointRecord.Phase.GONE)));
        assertTrue(endpointRegistry.merge(lost.get(0)));
        assertEquals(contact.lost(99_000, endpointRegistry), List.of(), "it is said once");
        assertTrue(endpointRegistry.merge(record(3, EndpointRecord.Phase.SERVING)));
    }

    @Test
    public void oneOfWhomNothingWasEverHeardIsNotLost() {
        assertEquals(new SidecarContact().lost(1_000_000, registry()), List.of());
        assertEquals(new SidecarContact().fresh(1_000_000, registry()), List.of());
    }
}
