package whinlead.testbed.replication;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import whinlead.replication.ReplicatedState;
import whinlead.replication.raft.Member;

/**
 * What must hold of a simulated cluster long after its last fault: members hold the same, each group has a leader, and
 * no consultation is left open.
 */
final class FinalStateCheck {
    private final SimCluster cluster;
    private final Truth truth;

    /** Of a cluster. */
    FinalStateCheck(SimCluster cluster) {
        this.cluster = cluster;
        this.truth = cluster.truth();
    }

    /** Checks it now, and notes what it finds. */
    void run() {
        cluster.groups().forEach((group, firstMembers) -> checkGroup(group, firstMembers.size()));
        for (SimMachine machine : cluster.machines()) {
            if (running(machine) && machine.consultations().open() > 0) {
                truth.broken("left open");
            }
        }
    }

    private static boolean running(SimMachine machine) {
        return machine.alive() && !machine.process().frozen();
    }

    private void checkGroup(String group, int size) {
        Map<Long, ReplicatedState.Snapshot> snapshots = new HashMap<>();
        Set<Long> commandCounts = new HashSet<>();
        for (SimMachine machine : cluster.machines()) {
            if (!running(machine) || machine.host().seat(group) == null) {
                continue;
            }
            Member member = machine.member(group);
            if (member == null) {
                truth.seen(CopiesDay.STOPPED);
                continue;
            }
            for (int i = 0; i < member.restarts(); i++) {
                truth.seen("consensus begun again");
            }
            if (member.votes()) {
                ReplicatedState.Snapshot snapshot = member.state().snapshot();
                commandCounts.add(snapshot.commandCount());
                compare(snapshot, snapshots.putIfAbsent(member.appliedIndex(), snapshot));
            }
        }
        // All is well again for long: a member that still lags, or a group without a leader, has stopped.
        if (commandCounts.size() > 1 || cluster.leader(group).isEmpty()) {
            truth.seen(CopiesDay.STOPPED);
        }
        if (LossLimit.voters(cluster, group).size() < size) {
            truth.seen(CopiesDay.SHORT);
        }
    }

    private void compare(ReplicatedState.Snapshot snapshot, ReplicatedState.Snapshot sameIndex) {
        if (sameIndex != null && !snapshot.equals(sameIndex)) {
            truth.broken("books that differ");
        }
    }
}
