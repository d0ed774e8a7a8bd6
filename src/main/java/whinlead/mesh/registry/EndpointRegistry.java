package whinlead.mesh.registry;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All listings known here, with the counts and the lists by service that requests ask for, which are kept as
 * listings change. Mergeable state: any order of merges gives the same. Pure; one thread.
 */
public final class EndpointRegistry {
    /** Beyond so many nodes newcomers are left out: a peer's fault must not fill the memory. */
    public static final int MOST = 4096;
    private final Map<String, EndpointRecord> listings = new LinkedHashMap<>();
    /** By service and then by node: listings of sidecars that have not gone and that have an endpoint. */
    private final Map<String, Map<String, EndpointRecord>> endpoints = new HashMap<>();
    private int present;

    /** Takes a listing in; true if it is news. */
    public boolean merge(EndpointRecord listing) {
        EndpointRecord known = listings.get(listing.node());
        if (known == null && listings.size() >= MOST || !listing.newerThan(known)) {
            return false;
        }
        listings.put(listing.node(), listing);
        if (known != null) {
            remove(known);
        }
        add(listing);
        return true;
    }

    private void add(EndpointRecord listing) {
        if (listing.phase() == EndpointRecord.Phase.GONE) {
            return;
        }
        present++;
        if (!listing.endpoint().isEmpty()) {
            endpoints.computeIfAbsent(listing.target(), service -> new LinkedHashMap<>())
                    .put(listing.node(), listing);
        }
    }

    private void remove(EndpointRecord listing) {
        if (listing.phase() == EndpointRecord.Phase.GONE) {
            return;
        }
        present--;
        Map<String, EndpointRecord> service = endpoints.getOrDefault(listing.target(), Map.of());
        if (!listing.endpoint().isEmpty()) {
            service.remove(listing.node());
        }
        if (service.isEmpty()) {
            endpoints.remove(listing.target());
        }
    }

    /** The newest of a node, or null. */
    public EndpointRecord of(String node) {
        return listings.get(node);
    }

    /** All. */
    public Collection<EndpointRecord> all() {
        return Collections.unmodifiableCollection(listings.values());
    }

    /** The listings of a service's endpoints, without those of sidecars that have gone. */
    public List<EndpointRecord> endpoints(String service) {
        return List.copyOf(endpoints.getOrDefault(service, Map.of()).values());
    }

    /** How many sidecars are there now, as far as is known. */
    public int present() {
        return present;
    }
}
