package whinlead.mesh.registry;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All endpoint records known here, with the counts and the lists by service that requests ask for, which are kept as
 * endpoint records change. Mergeable state: any order of merges gives the same. Pure; one thread.
 */
public final class EndpointRegistry {
    /** Beyond so many nodes learners are left out: a peer's fault must not fill the memory. */
    public static final int MAX_NODES = 4096;

    private final Map<String, EndpointRecord> records = new LinkedHashMap<>();
    /** By service and then by node: endpoint records of sidecars that have not gone and that have an endpoint. */
    private final Map<String, Map<String, EndpointRecord>> endpoints = new HashMap<>();

    private int present;

    /** Takes an endpoint record in; true if it is new. */
    public boolean merge(EndpointRecord record) {
        EndpointRecord known = records.get(record.node());
        if (known == null && records.size() >= MAX_NODES || !record.isNewerThan(known)) {
            return false;
        }
        records.put(record.node(), record);
        if (known != null) {
            remove(known);
        }
        add(record);
        return true;
    }

    private void add(EndpointRecord record) {
        if (record.phase() == EndpointRecord.Phase.GONE) {
            return;
        }
        present++;
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
        present--;
        Map<String, EndpointRecord> service = endpoints.getOrDefault(record.target(), Map.of());
        if (!record.endpoint().isEmpty()) {
            service.remove(record.node());
        }
        if (service.isEmpty()) {
            endpoints.remove(record.target());
        }
    }

    /** The newest of a node, or null. */
    public EndpointRecord find(String node) {
        return records.get(node);
    }

    /** All. */
    public Collection<EndpointRecord> all() {
        return Collections.unmodifiableCollection(records.values());
    }

    /** The endpoint records of a service's endpoints, without those of sidecars that have gone. */
    public List<EndpointRecord> endpoints(String service) {
        return List.copyOf(endpoints.getOrDefault(service, Map.of()).values());
    }

    /** How many sidecars are there now, as far as is known. */
    public int presentCount() {
        return present;
    }
}
