package whinlead.replication.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;

/**
 * An in-memory copy of a member's persistent state; changes are also written to a disk if there is one. The entries are
 * objects that the library keeps anyway. Not thread-safe.
 */
public final class LogMirror implements MemberDisk {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private MemberDisk disk;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();
    private RaftEndpointPersistentState localEndpoint;
    private RaftGroupMembersView initialMembers;
    private RaftTermPersistentState term;

    /** An empty mirror without a disk. */
    public LogMirror() {}

    /** A copy of another mirror whose changes are written to this disk; null for no disk. */
    public LogMirror(LogMirror source, MemberDisk disk) {
        this.disk = disk;
        localEndpoint = source.localEndpoint;
        initialMembers = source.initialMembers;
        term = source.term;
        entries.putAll(source.entries);
        source.snapshots.forEach((index, chunks) -> snapshots.put(index, new TreeMap<>(chunks)));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        localEndpoint = state;
        if (disk != null) {
            disk.persistAndFlushLocalEndpoint(state);
        }
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        initialMembers = members;
        if (disk != null) {
            disk.persistAndFlushInitialGroupMembers(members);
        }
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state;
        if (disk != null) {
            disk.persistAndFlushTerm(state);
        }
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        added.forEach(e -> entries.put(e.getIndex(), e));
        if (disk != null) {
            disk.persistLogEntries(added);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        putChunk(chunk);
        if (disk != null) {
            disk.persistSnapshotChunk(chunk);
        }
    }

    private void putChunk(SnapshotChunk chunk) {
        snapshots.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        entries.tailMap(index, true).clear();
        if (disk != null) {
            disk.truncateLogEntriesFrom(index);
        }
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        entries.headMap(index, true).clear();
        if (disk != null) {
            disk.truncateLogEntriesUntil(index);
            disk.logTruncated(this);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        snapshots.remove(index);
        if (disk != null) {
            disk.deleteSnapshotChunks(index, count);
        }
    }

    @Override
    public void logTruncated(LogMirror mirror) {
        // A mirror has nothing to compact.
    }

    /** The log index of the last complete snapshot; 0 without one. */
    long snapshotEnd() {
        SnapshotEntry last = lastSnapshot();
        return last == null ? 0 : last.getIndex();
    }

    /**
     * True if the log has this entry: two entries of the same index and term are equal, and so are all entries before
     * them.
     */
    boolean hasEntry(LogEntry entry) {
        LogEntry existing = entries.get(entry.getIndex());
        return existing != null && existing.getTerm() == entry.getTerm();
    }

    /** True if the log has entries after this index. */
    boolean hasEntriesAfter(long index) {
        return !entries.isEmpty() && entries.lastKey() > index;
    }

    private SnapshotEntry lastSnapshot() {
        for (TreeMap<Integer, SnapshotChunk> chunks : snapshots.descendingMap().values()) {
            SnapshotChunk first = chunks.firstEntry().getValue();
            if (chunks.size() == first.getSnapshotChunkCount()) {
                return MODELS.createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(List.copyOf(chunks.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        return null;
    }

    /** Writes the whole content to another disk, in an order in which it could have been written originally. */
    public void copyTo(MemberDisk other) throws IOException {
        if (localEndpoint != null) {
            other.persistAndFlushLocalEndpoint(localEndpoint);
        }
        if (initialMembers != null) {
            other.persistAndFlushInitialGroupMembers(initialMembers);
        }
        if (term != null) {
            other.persistAndFlushTerm(term);
        }
        for (TreeMap<Integer, SnapshotChunk> chunks : snapshots.values()) {
            for (SnapshotChunk chunk : chunks.values()) {
                other.persistSnapshotChunk(chunk);
            }
        }
        other.persistLogEntries(List.copyOf(entries.values()));
        other.flush();
    }

    @Override
    public void flush() throws IOException {
        if (disk != null) {
            disk.flush();
        }
    }

    /**
     * The state to restart from: the last complete snapshot and the entries after it; null if no member's state was
     * written.
     */
    public RestoredRaftState restored() {
        if (localEndpoint == null || initialMembers == null) {
            return null;
        }
        SnapshotEntry snapshot = lastSnapshot();
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState lastTerm = term != null
                ? term
                : MODELS.createRaftTermPersistentStateBuilder()
                        .setTerm(0)
                        .setVotedFor((RaftEndpoint) null)
                        .build();
        return new RestoredRaftState(
                localEndpoint,
                initialMembers,
                lastTerm,
                snapshot,
                List.copyOf(entries.tailMap(snapshotIndex, false).values()));
    }
}
