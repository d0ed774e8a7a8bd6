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

/** Appends records to a file: a length, a checksum and a protobuf message each. */
final class RecordWriter implements MemberDisk {
    /** Bytes before each record: its length and its checksum. */
    static final int PREFIX_BYTES = 2 * Integer.BYTES;
    /** A longer record is invalid: a snapshot chunk, the longest kind, has at most a thousand requests. */
    static final int MAX_RECORD_BYTES = 16 << 20;

    private static final int BUFFER_BYTES = 64 << 10;

    private final FileChannel file;
    private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private long size;

    RecordWriter(FileChannel file, long size) {
        this.file = file;
        this.size = size;
    }

    /** Bytes written, buffered ones included. */
    long size() {
        return size;
    }

    void write(Wire.Record record) throws IOException {
        byte[] bytes = record.toByteArray();
        if (bytes.length > MAX_RECORD_BYTES) {
            throw new IOException("record too long: " + bytes.length + " bytes");
        }
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        if (buffer.remaining() < PREFIX_BYTES + bytes.length) {
            writeBuffer();
            if (buffer.capacity() < PREFIX_BYTES + bytes.length) {
                buffer = ByteBuffer.allocate(PREFIX_BYTES + bytes.length);
            }
        }
        buffer.putInt(bytes.length).putInt((int) checksum.getValue()).put(bytes);
        size += PREFIX_BYTES + bytes.length;
    }

    private void writeBuffer() throws IOException {
        buffer.flip();
        while (buffer.hasRemaining()) {
            file.write(buffer);
        }
        buffer = buffer.capacity() > BUFFER_BYTES ? ByteBuffer.allocate(BUFFER_BYTES) : buffer.clear();
    }

    private void writeAndFlush(Wire.Record record) throws IOException {
        write(record);
        flush();
    }

    @Override
    public void flush() throws IOException {
        writeBuffer();
        file.force(false);
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        writeAndFlush(Wire.Record.newBuilder()
                .setSelf(Messages.encode(state.getLocalEndpoint()))
                .setVoting(state.isVoting())
                .build());
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        writeAndFlush(
                Wire.Record.newBuilder().setFirst(Messages.encode(members)).build());
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        Wire.Term.Builder term = Wire.Term.newBuilder().setTerm(state.getTerm());
        if (state.getVotedFor() != null) {
            term.setVotedFor(Messages.encode(state.getVotedFor()));
        }
        writeAndFlush(Wire.Record.newBuilder().setTerm(term).build());
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        for (LogEntry entry : entries) {
            write(Wire.Record.newBuilder().setEntry(Messages.encode(entry)).build());
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        write(Wire.Record.newBuilder().setChunk(Messages.encode(chunk)).build());
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
    public void logTruncated(LogMirror mirror) {
        // DiskLog, which owns the file, decides when to rewrite it.
    }
}
