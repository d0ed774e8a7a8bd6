package whinlead.replication.raft;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * One life of a member: a process that comes back without what it knew is another, for it must not vote for the one
 * before.
 *
 * @param name of the member, the same over its lives
 * @param life 1 for the first; a later one is higher
 */
public record MemberId(String name, long life) implements RaftEndpoint, Comparable<MemberId> {
    /** These in their order, which is the same in every process; it can't be changed. */
    public static SortedSet<MemberId> sorted(Collection<MemberId> all) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(all));
    }

    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(life, other.life);
    }

    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public String toString() {
        return name + "#" + life;
    }
}
