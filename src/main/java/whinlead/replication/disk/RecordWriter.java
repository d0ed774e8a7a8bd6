package whinlead.replication.disk;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.List;
import java.util.zip.CRC32C;
import whinlead.replication.codec.Messages;
import whinlead.replication.raft.LogMirror;
import whinlead.replication.raft.MemberDisk;
import whinlead.replication.wire.Wire;

/** Writes records to the end of a file: a length, a checksum and a protobuf message each. */
final class RecordWriter implements MemberDisk {
    /** Before each record: its length and its checksum. */
    static final int FRAME = 2 * Integer.BYTES;
    /** A longer record is none: a piece of a snapshot, the longest there is, has a thousand requests. */
    static final int MAX_RECORD = 16 << 20;

    private static final int BUFFER = 64 << 10;

    private final FileChannel file;
    private ByteBuffer waiting = ByteBuffer.allocate(BUFFER);
    private long size;

    RecordWriter(FileChannel file, long size) {
        this.file = file;
        this.size = size;
    }

    /** Bytes written, those that wait included. */
    long size() {
        return size;
    }

    void write(Wire.Record record) throws IOException {
        byte[] bytes = record.toByteArray();
        if (bytes.length > MAX_RECORD) {
            throw new IOException("a record of " + bytes.length + " bytes");
        }
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        if (waiting.remaining() < FRAME + bytes.length) {
            drain();
            if (waiting.capacity() < FRAME + bytes.length) {
                waiting = ByteBuffer.allocate(FRAME + bytes.length);
            }
        }
        waiting.putInt(bytes.length).putInt((int) sum.getValue()).put(bytes);
        size += FRAME + bytes.length;
    }

    private void drain() throws IOException {
        waiting.flip();
        while (waiting.hasRemaining()) {
            file.write(waiting);
        }
        waiting = waiting.capacity() > BUFFER ? ByteBuffer.allocate(BUFFER) : waiting.clear();
    }

    private void writeThrough(Wire.Record record) throws IOException {
        write(record);
        flush();
    }

    @Override
    public void flush() throws IOException {
        drain();
        file.force(false);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        writeThrough(Wire.Record.newBuilder()
                .setSelf(Messages.of(state.getLocalEndpoint()))
                .setVoting(state.isVoting())
                .build());
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        writeThrough(Wire.Record.newBuilder().setFirst(Messages.of(members)).build());
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        Wire.Term.Builder term = Wire.Term.newBuilder().setTerm(state.getTerm());
        if (state.getVotedFor() != null) {
            term.setVotedFor(Messages.of(state.getVotedFor()));
        }
        writeThrough(Wire.Record.newBuilder().setTerm(term).build());
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry e : entries) {
            write(Wire.Record.newBuilder().setEntry(Messages.of(e)).build());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(Wire.Record.newBuilder().setChunk(Messages.of(chunk)).build());
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        write(Wire.Record.newBuilder().setCutFrom(index).build());
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        write(Wire.Record.newBuilder().setCutUntil(index).build());
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        write(Wire.Record.newBuilder().setChunksGone(index).build());
    }

    @Override
    public void shortened(LogMirror held) {
        // Whoever owns the file decides when it is written anew.
    }
}
