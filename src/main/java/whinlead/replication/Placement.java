package whinlead.replication;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Which group keeps a request, and which process comes next for something: by rendezvous hashing (Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates", 1998). Every process comes to the same answer from
 * the same names, with nothing to agree on, and a name that goes moves only what was its own. It does not change
 * between versions: two that disagree would each let a request out. Pure.
 */
public final class Placement {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private final List<String> groups;
    private final long[] hashes;

    /** Over these groups; at least one. */
    public Placement(Collection<String> groups) {
        SortedSet<String> sorted = new TreeSet<>(groups);
        if (sorted.isEmpty()) {
            throw new IllegalArgumentException("no groups");
        }
        this.groups = List.copyOf(sorted);
        hashes = this.groups.stream().mapToLong(Placement::hash).toArray();
    }

    /** The group that keeps the request of this id. */
    public String of(String id) {
        long h = hash(id);
        int best = 0;
        for (int i = 1; i < hashes.length; i++) {
            if (Long.compareUnsigned(weight(hashes[i], h), weight(hashes[best], h)) > 0) {
                best = i;
            }
        }
        return groups.get(best);
    }

    /** These names in their order for a key, the one that comes first before the others. */
    public static List<String> ranked(String key, Collection<String> names) {
        long h = hash(key);
        return names.stream()
                .sorted(Comparator.<String>comparingLong(n -> weight(hash(n), h) ^ Long.MIN_VALUE)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    // FNV-1a of the characters.
    private static long hash(String s) {
        long h = OFFSET;
        for (int i = 0; i < s.length(); i++) {
            h = (h ^ s.charAt(i)) * PRIME;
        }
        return h;
    }

    // The finalizer of MurmurHash3: FNV alone leaves the high bits of short names alike.
    private static long weight(long name, long key) {
        long h = name ^ Long.rotateLeft(key, 32) * PRIME;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
