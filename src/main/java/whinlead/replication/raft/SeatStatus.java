package whinlead.replication.raft;

import java.util.Set;

/** How it stands, for operators; {@code id} is null while it has no life. */
public record SeatStatus(MemberId id, boolean leads, boolean votes, Set<MemberId> members, int requests, long time) {
    /** While it has no life. */
    static final SeatStatus NONE = new SeatStatus(null, false, false, Set.of(), 0, 0);
}
