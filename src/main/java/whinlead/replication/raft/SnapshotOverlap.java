package whinlead.replication.raft;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;

/**
 * Works around a fault of MicroRaft 0.7: a member rejects entries that begin right after its snapshot if its log has
 * entries there already, since it looks for the preceding entry, which the snapshot replaced. A leader that missed the
 * member's replies, or was just elected, offers no other entries. Two entries of the same index and term are equal, and
 * so are all entries before them, so entries that the log has are removed from the request. Conflicting entries in the
 * log are a tail that was never committed and never will be, since a leader has all committed entries.
 */
final class SnapshotOverlap {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final LogMirror log;

    /** Compares append requests with this log. */
    SnapshotOverlap(LogMirror log) {
        this.log = log;
    }

    /**
     * The request without entries up to the snapshot's end: the log has no entries there to compare. All entries up to
     * the end are committed, so the leader's are the same. Simulator schedule 793 shows the fault.
     */
    AppendEntriesRequest afterSnapshot(AppendEntriesRequest request) {
        long previous = request.getPreviousLogIndex();
        long end = log.snapshotEnd();
        boolean crossesEnd = previous > 0
                && previous < end
                && previous + request.getLogEntries().size() >= end;
        return crossesEnd ? withoutFirst(request, (int) (end - previous)) : request;
    }

    /** Whether the request has entries right after the snapshot, and the log holds entries there. */
    boolean overlapsLog(AppendEntriesRequest request) {
        long previous = request.getPreviousLogIndex();
        return previous != 0
                && !request.getLogEntries().isEmpty()
                && log.hasEntriesAfter(previous)
                && previous == log.snapshotEnd();
    }

    /** How many of the request's first entries the log holds. */
    int countHeldEntries(AppendEntriesRequest request) {
        List<LogEntry> entries = request.getLogEntries();
        int count = 0;
        while (count < entries.size() && log.hasEntry(entries.get(count))) {
            count++;
        }
        return count;
    }

    /** The request without its first {@code count} entries; at least one. */
    AppendEntriesRequest withoutFirst(AppendEntriesRequest request, int count) {
        List<LogEntry> entries = request.getLogEntries();
        LogEntry last = entries.get(count - 1);
        return MODELS.createAppendEntriesRequestBuilder()
                .setGroupId(request.getGroupId())
                .setSender(request.getSender())
                .setTerm(request.getTerm())
                .setPreviousLogTerm(last.getTerm())
                .setPreviousLogIndex(last.getIndex())
                .setCommitIndex(request.getCommitIndex())
                .setLogEntries(entries.subList(count, entries.size()))
                .setQuerySequenceNumber(request.getQuerySequenceNumber())
                .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
                .build();
    }
}
