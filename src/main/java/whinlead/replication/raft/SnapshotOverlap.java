package whinlead.replication.raft;

import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.message.AppendEntriesRequest;
import java.util.List;

/**
 * Guards against a fault of MicroRaft 0.7: it refuses entries that begin right after its snapshot if it holds entries
 * there already, since it looks for the one before, and a leader that missed its answers or leads anew offers no
 * others. Two entries of one index and term are the same and so is all before them: what is held is left out of the
 * request. What stands against it is a tail that was never agreed on and never will be, for a leader holds all that is.
 */
final class SnapshotOverlap {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final LogMirror log;

    /** Compares requests with this log. */
    SnapshotOverlap(LogMirror log) {
        this.log = log;
    }

    /**
     * The request without entries up to the snapshot's end (schedule 793): the log has no entry there to compare. All
     * up to the end was agreed on, so what a leader holds of it is the same.
     */
    AppendEntriesRequest afterSnapshot(AppendEntriesRequest request) {
        long from = request.getPreviousLogIndex();
        long end = log.snapshotEnd();
        boolean across =
                from > 0 && from < end && from + request.getLogEntries().size() >= end;
        return across ? without(request, (int) (end - from)) : request;
    }

    /** Whether the request has entries right after the snapshot, and the log holds entries there. */
    boolean overlapsLog(AppendEntriesRequest request) {
        long previous = request.getPreviousLogIndex();
        return previous != 0
                && !request.getLogEntries().isEmpty()
                && log.goesBeyond(previous)
                && previous == log.snapshotEnd();
    }

    /** How many of the request's first entries the log holds. */
    int heldEntries(AppendEntriesRequest request) {
        List<LogEntry> entries = request.getLogEntries();
        int held = 0;
        while (held < entries.size() && log.holds(entries.get(held))) {
            held++;
        }
        return held;
    }

    /** The request without so many of its first entries, at least one. */
    AppendEntriesRequest without(AppendEntriesRequest request, int count) {
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
