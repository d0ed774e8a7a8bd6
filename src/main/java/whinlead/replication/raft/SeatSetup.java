package whinlead.replication.raft;

import io.microraft.RaftConfig;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import whinlead.replication.ReplicatedState;

/**
 * The operator's settings of one seat.
 *
 * @param name of this process
 * @param group name of the group
 * @param founderNames names of the founding members, with or without this process
 * @param processes all that may have a seat, the founders included
 * @param replaceAfterMs of silence after which a member is replaced by a guest; 0 for never
 */
public record SeatSetup(
        String name,
        String group,
        SortedSet<String> founderNames,
        SortedSet<String> processes,
        double replaceAfterMs,
        RaftConfig consensus,
        ReplicatedState.Limits limits) {
    /** Copies the sets, and checks that they include this process and all founders. */
    public SeatSetup {
        founderNames = Collections.unmodifiableSortedSet(new TreeSet<>(founderNames));
        processes = Collections.unmodifiableSortedSet(new TreeSet<>(processes));
        if (!processes.contains(name) || !processes.containsAll(founderNames)) {
            throw new IllegalArgumentException(name + " or a founding member is not among the processes");
        }
    }

    /** The settings of a group that only its founders ever belong to. */
    public SeatSetup(String name, SortedSet<String> founderNames, RaftConfig consensus, ReplicatedState.Limits limits) {
        this(name, Member.GROUP, founderNames, founderNames, 0, consensus, limits);
    }

    String coordinator() {
        return founderNames.first();
    }

    boolean isGuest() {
        return !founderNames.contains(name);
    }
}
