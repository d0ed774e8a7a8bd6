package whinlead.replication.raft;

import io.microraft.persistence.RestoredRaftState;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The incarnation of a member that is stored in a log.
 *
 * @param founders the founding members of its group
 */
record RestoredIncarnation(MemberId id, Set<MemberId> founders) {
    /** Reads the incarnation from a log; empty if the log has none. */
    static Optional<RestoredIncarnation> of(LogMirror log) {
        RestoredRaftState restored = log.restored();
        if (restored == null) {
            return Optional.empty();
        }
        MemberId id = (MemberId) restored.getLocalEndpointPersistentState().getLocalEndpoint();
        Set<MemberId> founders = restored.getInitialGroupMembers().getMembers().stream()
                .map(endpoint -> (MemberId) endpoint)
                .collect(Collectors.toSet());
        return Optional.of(new RestoredIncarnation(id, founders));
    }
}
