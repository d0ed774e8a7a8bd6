package whinlead.replication.raft;

import io.microraft.RaftConfig;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import whinlead.replication.ReplicatedState;

/**
 * What an operator sets.
 *
 * @param name of this process
 * @param group by which its seats are told apart
 * @param names of the first members, this one or not
 * @param processes all that may have a seat, these among them
 * @param replaceAfterMs of silence, until a member is replaced by a guest; 0 for never
 */
public record SeatSetup(
        String name,
        String group,
        SortedSet<String> names,
        SortedSet<String> processes,
        double replaceAfterMs,
        RaftConfig consensus,
        ReplicatedState.Limits limits) {
    /** Checks that it is one of them. */
    public SeatSetup {
        names = Collections.unmodifiableSortedSet(new TreeSet<>(names));
        processes = Collections.unmodifiableSortedSet(new TreeSet<>(processes));
        if (!processes.contains(name) || !processes.containsAll(names)) {
            throw new IllegalArgumentException(name + " is none of the members");
        }
    }

    /** Of a group that only its first members ever belong to. */
    public SeatSetup(String name, SortedSet<String> names, RaftConfig consensus, ReplicatedState.Limits limits) {
        this(name, Member.GROUP, names, names, 0, consensus, limits);
    }

    String coordinator() {
        return names.first();
    }

    boolean guest() {
        return !names.contains(name);
    }
}
