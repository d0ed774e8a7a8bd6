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
 * What a member would find on its disk, kept in memory, and passed on to a disk where there is one. The entries are
 * those that the library holds anyway. For one thread.
 */
public final class LogMirror implements MemberDisk {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private MemberDisk disk;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();
    private RaftEndpointPersistentState self;
    private RaftGroupMembersView first;
    private RaftTermPersistentState term;

    /** An empty one with no disk behind it. */
    public LogMirror() {}

    /** One that holds what another does, before this disk, or null for none. */
    public LogMirror(LogMirror held, MemberDisk disk) {
        this.disk = disk;
        self = held.self;
        first = held.first;
        term = held.term;
        entries.putAll(held.entries);
        held.snapshots.forEach((index, chunks) -> snapshots.put(index, new TreeMap<>(chunks)));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        self = state;
        if (disk != null) {
            disk.persistAndFlushLocalEndpoint(state);
        }
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        first = members;
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
        add(chunk);
        if (disk != null) {
            disk.persistSnapshotChunk(chunk);
        }
    }

    private void add(SnapshotChunk chunk) {
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
            disk.shortened(this);
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
    public void shortened(LogMirror held) {
        // Nothing is written here.
    }

    /** Where its last whole snapshot ends; 0 without one. */
    long snapshotEnd() {
        SnapshotEntry last = snapshot();
        return last == null ? 0 : last.getIndex();
    }

    /** True if it holds this very entry: two of one index and term are the same, and so is all before them. */
    boolean holds(LogEntry entry) {
        LogEntry own = entries.get(entry.getIndex());
        return own != null && own.getTerm() == entry.getTerm();
    }

    /** True if it holds entries after this index. */
    boolean goesBeyond(long index) {
        return !entries.isEmpty() && entries.lastKey() > index;
    }

    private SnapshotEntry snapshot() {
        for (TreeMap<Integer, SnapshotChunk> chunks : snapshots.descendingMap().values()) {
            SnapshotChunk one = chunks.firstEntry().getValue();
            if (chunks.size() == one.getSnapshotChunkCount()) {
                return MODELS.createSnapshotEntryBuilder()
                        .setIndex(one.getIndex())
                        .setTerm(one.getTerm())
                        .setSnapshotChunks(List.copyOf(chunks.values()))
                        .setGroupMembersView(one.getGroupMembersView())
                        .build();
            }
        }
        return null;
    }

    /** Hands all that it holds to another, in an order in which it could have come. */
    public void copyTo(MemberDisk other) throws IOException {
        if (self != null) {
            other.persistAndFlushLocalEndpoint(self);
        }
        if (first != null) {
            other.persistAndFlushInitialGroupMembers(first);
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

    /** All that it holds, the last whole snapshot and what follows it; null if nothing lasting was written. */
    public RestoredRaftState restored() {
        if (self == null || first == null) {
            return null;
        }
        SnapshotEntry snapshot = snapshot();
        long after = snapshot == null ? 0 : snapshot.getIndex();
        RaftTermPersistentState known = term != null
                ? term
                : MODELS.createRaftTermPersistentStateBuilder()
                        .setTerm(0)
                        .setVotedFor((RaftEndpoint) null)
                        .build();
        return new RestoredRaftState(
                self,
                first,
                known,
                snapshot,
                List.copyOf(entries.tailMap(after, false).values()));
    }
}
