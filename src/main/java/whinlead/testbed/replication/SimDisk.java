package whinlead.testbed.replication;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import whinlead.replication.raft.LogMirror;
import whinlead.replication.raft.MemberDisk;

/** A disk that keeps what was flushed, and loses the rest with its process. */
final class SimDisk implements MemberDisk {
    private interface Write {
        void to(LogMirror platter) throws IOException;
    }

    private final LogMirror platter = new LogMirror();
    private final List<Write> unflushed = new ArrayList<>();
    private RaftEndpointPersistentState self;
    private RaftGroupMembersView first;

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        self = state;
        platter.persistAndFlushLocalEndpoint(state);
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        first = members;
        platter.persistAndFlushInitialGroupMembers(members);
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        flush();
        platter.persistAndFlushTerm(state);
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) {
        List<LogEntry> copy = List.copyOf(added);
        unflushed.add(p -> p.persistLogEntries(copy));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        unflushed.add(p -> p.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        unflushed.add(p -> p.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        unflushed.add(p -> p.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        unflushed.add(p -> p.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        for (Write write : unflushed) {
            write.to(platter);
        }
        unflushed.clear();
    }

    @Override
    public void logTruncated(LogMirror held) {
        // It holds no past.
    }

    /** Another that knows no more than which member it is of: a process that comes back with it has forgotten. */
    SimDisk forgetful() {
        SimDisk other = new SimDisk();
        other.self = self;
        other.first = first;
        try {
            if (self != null) {
                other.platter.persistAndFlushLocalEndpoint(self);
            }
            if (first != null) {
                other.platter.persistAndFlushInitialGroupMembers(first);
            }
        } catch (IOException e) {
            throw new IllegalStateException("memory does not fail", e);
        }
        return other;
    }

    /** What a process finds that starts after one that was killed. */
    LogMirror found() {
        unflushed.clear();
        return new LogMirror(platter, this);
    }
}
