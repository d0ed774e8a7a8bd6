package whinlead.replication.raft;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * One incarnation of a member: a process that restarts without its state is a new incarnation, since it must not vote
 * on behalf of the earlier one.
 *
 * @param name of the member, the same for all incarnations
 * @param incarnation increases with each incarnation of a name
 */
public record MemberId(String name, long incarnation) implements RaftEndpoint, Comparable<MemberId> {
    /** These members, sorted in the same order in every process; unmodifiable. */
    public static SortedSet<MemberId> sorted(Collection<MemberId> all) {
        return Collections.unmodifiableSortedSet(new TreeSet<>(all));
    }

    @Override
    public int compareTo(MemberId other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public Object getId() {
        return toString();
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
