package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * Tracks when a control node last had contact with each sidecar, directly or through another control node. This decides
 * which endpoint records it repeats to the other control nodes, and which sidecars it marks as gone. Pure; one thread;
 * times in milliseconds.
 */
final class SidecarContact {
    /** A sidecar without contact anywhere for this long is marked as gone, in milliseconds. */
    static final double SILENT_MS = 15_000;
    /**
     * How often control nodes share their contacts, in milliseconds. Short enough that one message may be lost before a
     * sidecar that only one control node can reach counts as silent at the others.
     */
    static final long SHARE_INTERVAL_MS = 5000;

    private final Map<String, Double> contactAtMs = new HashMap<>();
    /** The same for direct contact only. */
    private final Map<String, Double> directContactAtMs = new HashMap<>();

    /** Notes contact with a sidecar that has not gone, directly or through another control node. */
    void noteContact(double nowMs, String node, boolean direct) {
        contactAtMs.put(node, nowMs);
        if (direct) {
            directContactAtMs.put(node, nowMs);
        }
    }

    /** The endpoint records of silent sidecars, marked as gone. */
    List<EndpointRecord> silentSidecars(double nowMs, EndpointRegistry endpointRegistry) {
        List<EndpointRecord> silent = new ArrayList<>();
        for (EndpointRecord endpointRecord : endpointRegistry.all()) {
            double silenceMs = nowMs - contactAtMs.getOrDefault(endpointRecord.node(), nowMs);
            if (endpointRecord.phase() != EndpointRecord.Phase.GONE && silenceMs > SILENT_MS) {
                silent.add(new EndpointRecord(
                        endpointRecord.node(),
                        endpointRecord.life(),
                        endpointRecord.seq() + 1,
                        endpointRecord.zone(),
                        endpointRecord.endpoint(),
                        endpointRecord.target(),
                        EndpointRecord.Phase.GONE,
                        endpointRecord.capacity(),
                        0));
            }
        }
        return silent;
    }

    /** The endpoint records of sidecars with direct contact within the last share interval. */
    List<EndpointRecord> recentDirectContacts(double nowMs, EndpointRegistry endpointRegistry) {
        return endpointRegistry.all().stream()
                .filter(endpointRecord ->
                        nowMs - directContactAtMs.getOrDefault(endpointRecord.node(), Double.NEGATIVE_INFINITY)
                                < SHARE_INTERVAL_MS)
                .toList();
    }
}
