package whinlead.mesh.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * When a control node last heard of each sidecar, from itself or from another control node, and what follows: which
 * endpoint records it repeats to the other control nodes, and which sidecars it lists as gone. Pure; one thread; times
 * in milliseconds.
 */
final class SidecarContact {
    /** A sidecar of which nothing was heard for so long, anywhere, is listed as gone, in milliseconds. */
    static final double SILENT_MS = 15_000;
    /**
     * How often control nodes tell each other of whom they hear, in milliseconds. One may be lost, and a sidecar that
     * only one of them can reach does not count as silent at the others.
     */
    static final long REPEAT_MS = 5000;

    private final Map<String, Double> heard = new HashMap<>();
    /** Of these, when it was from the sidecar itself. */
    private final Map<String, Double> heardDirect = new HashMap<>();

    /** A sidecar that has not gone was heard of, from itself or from another control node. */
    void heard(double now, String node, boolean direct) {
        heard.put(node, now);
        if (direct) {
            heardDirect.put(node, now);
        }
    }

    /** The endpoint records of sidecars that have fallen silent, as gone. */
    List<EndpointRecord> lost(double now, EndpointRegistry endpointRegistry) {
        List<EndpointRecord> lost = new ArrayList<>();
        for (EndpointRecord l : endpointRegistry.all()) {
            double silent = now - heard.getOrDefault(l.node(), now);
            if (l.phase() != EndpointRecord.Phase.GONE && silent > SILENT_MS) {
                lost.add(new EndpointRecord(
                        l.node(),
                        l.life(),
                        l.seq() + 1,
                        l.zone(),
                        l.endpoint(),
                        l.target(),
                        EndpointRecord.Phase.GONE,
                        l.capacity(),
                        0));
            }
        }
        return lost;
    }

    /** The endpoint records of sidecars that were heard from themselves since the last repetition. */
    List<EndpointRecord> fresh(double now, EndpointRegistry endpointRegistry) {
        return endpointRegistry.all().stream()
                .filter(l -> now - heardDirect.getOrDefault(l.node(), Double.NEGATIVE_INFINITY) < REPEAT_MS)
                .toList();
    }
}
