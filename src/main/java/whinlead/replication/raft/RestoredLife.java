package whinlead.replication.raft;

import io.microraft.persistence.RestoredRaftState;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The life of a member that a log holds.
 *
 * @param first the members with which its group was founded
 */
record RestoredLife(MemberId id, Set<MemberId> first) {
    /** That of a log; empty if it holds none. */
    static Optional<RestoredLife> of(LogMirror log) {
        RestoredRaftState restored = log.restored();
        if (restored == null) {
            return Optional.empty();
        }
        MemberId id = (MemberId) restored.getLocalEndpointPersistentState().getLocalEndpoint();
        Set<MemberId> first = restored.getInitialGroupMembers().getMembers().stream()
                .map(endpoint -> (MemberId) endpoint)
                .collect(Collectors.toSet());
        return Optional.of(new RestoredLife(id, first));
    }
}
