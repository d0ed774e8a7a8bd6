package whinlead.replication;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Assigns requests to groups and ranks names for a key, by rendezvous hashing (Thaler and Ravishankar, "Using
 * name-based mappings to increase hit rates", 1998). Every process computes the same result from the same names without
 * coordination, and removing a name moves only the keys that were assigned to it. The result must not change between
 * versions: two versions that disagree could each grant an attempt at the same request. Pure.
 */
public final class Placement {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<String> groups;
    private final long[] groupHashes;

    /** A placement over these groups; at least one. */
    public Placement(Collection<String> groups) {
        SortedSet<String> sorted = new TreeSet<>(groups);
        if (sorted.isEmpty()) {
            throw new IllegalArgumentException("no groups");
        }
        this.groups = List.copyOf(sorted);
        groupHashes = this.groups.stream().mapToLong(Placement::hash).toArray();
    }

    /** The group that is responsible for the request with this id. */
    public String groupOf(String id) {
        long idHash = hash(id);
        int best = 0;
        for (int i = 1; i < groupHashes.length; i++) {
            if (Long.compareUnsigned(weight(groupHashes[i], idHash), weight(groupHashes[best], idHash)) > 0) {
                best = i;
            }
        }
        return groups.get(best);
    }

    /** The names ranked for a key, highest weight first. */
    public static List<String> ranked(String key, Collection<String> names) {
        long keyHash = hash(key);
        return names.stream()
                .sorted(Comparator.<String>comparingLong(name -> weight(hash(name), keyHash) ^ Long.MIN_VALUE)
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    // FNV-1a of the characters.
    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    // The finalizer of MurmurHash3: with FNV alone the high bits of short names hardly differ.
    private static long weight(long nameHash, long keyHash) {
        long mixed = nameHash ^ Long.rotateLeft(keyHash, 32) * FNV_PRIME;
        mixed = (mixed ^ mixed >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
