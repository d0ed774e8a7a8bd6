package cobaltrack.post.directory;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** All listings known here. Mergeable state: any order of merges gives the same. Pure; one thread. */
public final class Directory {
    /** Beyond so many nodes newcomers are left out: a peer's fault must not fill the memory. */
    public static final int MOST = 4096;
    private final Map<String, Listing> listings = new LinkedHashMap<>();

    /** Takes a listing in; true if it is news. */
    public boolean merge(Listing listing) {
        Listing known = listings.get(listing.node());
        if (known == null && listings.size() >= MOST || !listing.newerThan(known)) {
            return false;
        }
        listings.put(listing.node(), listing);
        return true;
    }

    /** The newest of a node, or null. */
    public Listing of(String node) {
        return listings.get(node);
    }

    /** All. */
    public Collection<Listing> all() {
        return Collections.unmodifiableCollection(listings.values());
    }

    /** How many sidecars are there now, as far as is known. */
    public int present() {
        return (int) listings.values().stream().filter(l -> l.phase() != Listing.Phase.GONE).count();
    }
}
