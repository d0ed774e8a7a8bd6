package whinlead.replication.raft;

import java.util.Set;

/** A seat's status for operators; {@code id} is null while the process has no incarnation. */
public record SeatStatus(
        MemberId id, boolean leads, boolean votes, Set<MemberId> members, int requests, long groupTimeMs) {
    /** The status without an incarnation. */
    static final SeatStatus NONE = new SeatStatus(null, false, false, Set.of(), 0, 0);
}
