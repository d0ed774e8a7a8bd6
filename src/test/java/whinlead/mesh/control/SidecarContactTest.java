package whinlead.mesh.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/** Which sidecars a control node marks as gone, and which contacts it shares with the others. */
public class SidecarContactTest {
    /** How often a sidecar repeats its endpoint record. */
    private static final double SIDECAR_REPEAT_MS = 3100;

    private static final String NODE = "10.0.0.1:80";

    private static EndpointRecord record(long seq, EndpointRecord.Phase phase) {
        return new EndpointRecord(NODE, 1, seq, "zone", "endpoint", "service", phase, 6, 0);
    }

    private static EndpointRegistry registry() {
        EndpointRegistry endpointRegistry = new EndpointRegistry();
        endpointRegistry.merge(record(1, EndpointRecord.Phase.SERVING));
        return endpointRegistry;
    }

    // One control node has direct contact with the sidecar; the other has contact only through the first one and
    // misses every second of its shares.
    @Test
    public void sidecarReachedByOneControlNodeIsNotSilentAtTheOthers() {
        EndpointRegistry endpointRegistry = registry();
        SidecarContact near = new SidecarContact();
        SidecarContact far = new SidecarContact();
        far.noteContact(0, NODE, false);
        int repeated = 0;
        double lastReportMs = Double.NEGATIVE_INFINITY;
        for (int i = 1; i <= 60; i++) {
            double nowMs = i * SidecarContact.SHARE_INTERVAL_MS;
            while (lastReportMs + SIDECAR_REPEAT_MS <= nowMs) {
                lastReportMs = Math.max(0, lastReportMs + SIDECAR_REPEAT_MS);
                near.noteContact(lastReportMs, NODE, true);
            }
            List<EndpointRecord> recent = near.recentDirectContacts(nowMs, endpointRegistry);
            assertEquals(recent.size(), 1, "shared at " + nowMs);
            if (i % 2 == 0) {
                repeated++;
                assertEquals(far.silentSidecars(nowMs, endpointRegistry), List.of(), "at " + nowMs);
                far.noteContact(nowMs, NODE, false);
            }
        }
        assertEquals(repeated, 30);
        assertEquals(far.recentDirectContacts(300_000, endpointRegistry), List.of(), "indirect contact is not shared");
    }

    @Test
    public void silentSidecarIsMarkedGoneUntilItSendsANewerRecord() {
        EndpointRegistry endpointRegistry = registry();
        SidecarContact contact = new SidecarContact();
        contact.noteContact(1000, NODE, true);
        assertEquals(contact.silentSidecars(1000 + SidecarContact.SILENT_MS, endpointRegistry), List.of());
        List<EndpointRecord> silent = contact.silentSidecars(1001 + SidecarContact.SILENT_MS, endpointRegistry);
        assertEquals(silent, List.of(record(2, EndpointRecord.Phase.GONE)));
        assertTrue(endpointRegistry.merge(silent.get(0)));
        assertEquals(contact.silentSidecars(99_000, endpointRegistry), List.of(), "it is reported once");
        assertTrue(endpointRegistry.merge(record(3, EndpointRecord.Phase.SERVING)));
    }

    @Test
    public void sidecarNeverHeardFromIsNotMarkedGone() {
        assertEquals(new SidecarContact().silentSidecars(1_000_000, registry()), List.of());
        assertEquals(new SidecarContact().recentDirectContacts(1_000_000, registry()), List.of());
    }
}
