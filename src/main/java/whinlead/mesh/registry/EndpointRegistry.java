package whinlead.mesh.registry;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All endpoint records known here, with counts and per-service lists that are updated with each record, because each
 * request uses them. Mergeable state: any order of merges has the same result. Pure; one thread.
 */
public final class EndpointRegistry {
    /**
     * Maximum number of records, so that a faulty peer can't exhaust the memory. Beyond it, records of sidecars that
     * have gone make room for others, the one known for longest first; if there is none, records of further nodes are
     * ignored.
     */
    public static final int MAX_NODES = 4096;

    private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
    /** By service and then by node: the records of sidecars that have not gone and that have an endpoint. */
    private final Map<String, Map<String, EndpointRecord>> endpoints = new HashMap<>();

    private int presentCount;

    /** Merges an endpoint record; returns true if it is new. */
    public boolean merge(EndpointRecord record) {
        EndpointRecord known = records.get(record.node());
        if (!record.isNewerThan(known) || known == null && !hasRoom()) {
            return false;
        }
        records.put(record.node(), record);
        if (known != null) {
            remove(known);
        }
        add(record);
        return true;
    }

    private boolean hasRoom() {
        if (records.size() >= MAX_NODES) {
            records.values().stream()
                    .filter(each -> each.phase() == EndpointRecord.Phase.GONE)
                    .findFirst()
                    .ifPresent(gone -> records.remove(gone.node()));
        }
        return records.size() < MAX_NODES;
    }

    private void add(EndpointRecord record) {
        if (record.phase() == EndpointRecord.Phase.GONE) {
            return;
        }
        presentCount++;
        if (!record.endpoint().isEmpty()) {
            endpoints
                    .computeIfAbsent(record.target(), service -> new LinkedHashMap<>())
                    .put(record.node(), record);
        }
    }

    private void remove(EndpointRecord record) {
        if (record.phase() == EndpointRecord.Phase.GONE) {
            return;
        }
        presentCount--;
        Map<String, EndpointRecord> serviceEndpoints = endpoints.getOrDefault(record.target(), Map.of());
        if (!record.endpoint().isEmpty()) {
            serviceEndpoints.remove(record.node());
        }
        if (serviceEndpoints.isEmpty()) {
            endpoints.remove(record.target());
        }
    }

    /** The newest record of a node, or null. */
    public EndpointRecord find(String node) {
        return records.get(node);
    }

    /** All records, including those of sidecars that have gone. */
    public Collection<EndpointRecord> all() {
        return Collections.unmodifiableCollection(records.values());
    }

    /** The endpoint records of a service's endpoints, without those of sidecars that have gone. */
    public List<EndpointRecord> endpoints(String service) {
        return List.copyOf(endpoints.getOrDefault(service, Map.of()).values());
    }

    /** The number of sidecars that have not gone, as far as is known. */
    public int presentCount() {
        return presentCount;
    }
}
