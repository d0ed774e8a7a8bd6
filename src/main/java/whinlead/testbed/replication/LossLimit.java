package whinlead.testbed.replication;

import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import whinlead.replication.raft.Member;
import whinlead.replication.raft.MemberId;

/**
 * Whether a machine may lose all that it holds: no group may lose more members at once than it is to bear. A lost
 * member counts until it votes again and holds all that was agreed on.
 */
final class LossLimit {
    /** A member that is so many entries behind its leader is not one that others can be lost beside. */
    private static final int MAX_LAG = 6;

    private final SimCluster cluster;
    /** Machines that are cut off: after a while spares count them as lost. */
    private final Set<String> unreachable;

    /** Of a cluster, of which these machines are cut off at any time. */
    LossLimit(SimCluster cluster, Set<String> unreachable) {
        this.cluster = cluster;
        this.unreachable = unreachable;
    }

    /** Whether each group bears the loss of this machine now. */
    boolean permits(SimMachine machine) {
        return cluster.groups().entrySet().stream()
                .allMatch(group ->
                        permits(machine, group.getKey(), group.getValue().size()));
    }

    private boolean permits(SimMachine machine, String group, int size) {
        Set<String> voters = voters(cluster, group);
        if (!voters.contains(machine.name())) {
            return true;
        }
        long lost = voters.stream()
                .filter(name -> !name.equals(machine.name()))
                .filter(name -> !upToDate(cluster.machine(name), group))
                .count();
        lost += Math.max(0, size - voters.size());
        lost += cluster.replacing() && replacementUnderWay(group) ? 1 : 0;
        return upToDate(machine, group) && lost + 1 <= (size - 1) / 2;
    }

    // A spare is about to replace a member that was silent for long enough to count as lost.
    private boolean replacementUnderWay(String group) {
        return cluster.liveMembers(group)
                .map(Member::view)
                .anyMatch(view -> !view.members().equals(view.voters()));
    }

    /** The names of a group's voters by the word of the member that knows most; its first members if none. */
    static Set<String> voters(SimCluster cluster, String group) {
        return cluster.liveMembers(group)
                .max(Comparator.comparingLong(Member::appliedIndex))
                .<Set<String>>map(member ->
                        member.view().voters().stream().map(MemberId::name).collect(Collectors.toSet()))
                .orElse(cluster.groups().get(group));
    }

    // It votes, and holds all that was agreed on by now.
    private boolean upToDate(SimMachine machine, String group) {
        Member member = machine.member(group);
        return machine.alive()
                && member != null
                && member.votes()
                && !member.isBehind(MAX_LAG)
                && (!cluster.replacing() || reachable(machine))
                && cluster.liveMembers(group).allMatch(other -> other.members().contains(member.id()));
    }

    private boolean reachable(SimMachine machine) {
        return !machine.process().frozen() && !unreachable.contains(machine.name());
    }
}
