package whinlead.replication.disk;

import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import whinlead.replication.codec.Messages;
import whinlead.replication.raft.LogMirror;
import whinlead.replication.raft.MemberDisk;
import whinlead.replication.wire.Wire;

/**
 * A member's log in persistent storage: one file of records, each with a checksum, rewritten once most of it is
 * obsolete. An incomplete last record, which was being written when the process ended, is truncated. A damaged record
 * followed by intact ones means that committed data is lost, and the file is rejected. The files are accessible to
 * their owner only and locked by one process at a time. The first write error is reported to a listener, and the member
 * has to step aside. On the engine's thread, which waits for the disk: nothing is acknowledged before it is written.
 */
public final class DiskLog implements MemberDisk, Closeable {
    private static final int FORMAT_VERSION = 1;
    /** A file is rewritten when it is larger than this and than four times its size after the last rewrite. */
    private static final long MIN_REWRITE_BYTES = 1 << 20;

    private static final int REWRITE_GROWTH_FACTOR = 4;
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private interface DiskOperation {
        void run() throws IOException;
    }

    private final Path folder;
    private final Wire.Record header;
    private final FileChannel lockFile;
    private final FileLock lock;
    private Consumer<String> failureListener = why -> {};
    private LogMirror restoredLog = new LogMirror();
    private FileChannel file;
    private RecordWriter writer;
    private long sizeAtRewrite;
    private boolean hasFailed;

    private DiskLog(Path folder, Wire.Record header, FileChannel lockFile, FileLock lock) {
        this.folder = folder;
        this.header = header;
        this.lockFile = lockFile;
        this.lock = lock;
    }

    /**
     * Opens the log of this member in this folder, or creates one.
     *
     * @param noteListener is told if an incomplete last record was truncated
     * @throws IOException with a message of one line, if the log can't be used: it is in use, damaged, or another
     *     member's
     */
    public static DiskLog open(Path folder, String group, String name, Consumer<String> noteListener)
            throws IOException {
        Files.createDirectories(folder);
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        FileChannel lockFile = create(folder.resolve("lock"), StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process holds the lock already.
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(folder + " is in use by another process");
        }
        Wire.Record header = Wire.Record.newBuilder()
                .setHeader(Wire.Header.newBuilder()
                        .setVersion(FORMAT_VERSION)
                        .setGroup(group)
                        .setName(name))
                .build();
        DiskLog disk = new DiskLog(folder, header, lockFile, lock);
        try {
            disk.read(noteListener);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
        return disk;
    }

    private static FileChannel create(Path path, StandardOpenOption... options) throws IOException {
        Set<StandardOpenOption> allOptions = EnumSet.copyOf(List.of(options));
        allOptions.add(StandardOpenOption.CREATE);
        return FileChannel.open(
                path, allOptions, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    private Path path() {
        return folder.resolve("log");
    }

    private void read(Consumer<String> noteListener) throws IOException {
        file = create(path(), StandardOpenOption.READ, StandardOpenOption.WRITE);
        long size = file.size();
        if (size == 0) {
            startFile();
            return;
        }
        ByteBuffer contents = file.map(FileChannel.MapMode.READ_ONLY, 0, size);
        boolean headerRead = false;
        while (contents.hasRemaining()) {
            int offset = contents.position();
            Wire.Record record = readRecord(contents);
            if (record == null) {
                if (hasRecordAfter(contents, offset + 1)) {
                    throw new IOException(path() + " is damaged at byte " + offset + ", with intact records after it");
                }
                noteListener.accept("copies: " + path() + " ends with an incomplete record; " + (size - offset)
                        + " bytes truncated");
                file.truncate(offset);
                file.force(true);
                size = offset;
                break;
            }
            if (!headerRead && !record.equals(header)) {
                throw new IOException(path() + " belongs to another member, group or version");
            }
            headerRead = true;
            try {
                applyRecord(record);
            } catch (IllegalArgumentException e) {
                throw new IOException(path() + " has a record that this version can't read, at byte " + offset, e);
            }
        }
        if (!headerRead) {
            startFile();
            return;
        }
        file.position(size);
        writer = new RecordWriter(file, size);
        sizeAtRewrite = size;
    }

    private void startFile() throws IOException {
        file.truncate(0);
        file.position(0);
        writer = new RecordWriter(file, 0);
        writer.write(header);
        writer.flush();
        sizeAtRewrite = writer.size();
        syncFolder();
    }

    /** Reads the record at the buffer's position and moves the position past it; null if there is no valid record. */
    private static Wire.Record readRecord(ByteBuffer contents) {
        if (contents.remaining() < RecordWriter.PREFIX_BYTES) {
            return null;
        }
        int length = contents.getInt();
        int checksum = contents.getInt();
        if (length <= 0 || length > RecordWriter.MAX_RECORD_BYTES || length > contents.remaining()) {
            return null;
        }
        ByteBuffer bytes = contents.slice(contents.position(), length);
        CRC32C computed = new CRC32C();
        computed.update(bytes.duplicate());
        if ((int) computed.getValue() != checksum) {
            return null;
        }
        contents.position(contents.position() + length);
        try {
            return Wire.Record.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    private static boolean hasRecordAfter(ByteBuffer contents, int start) {
        for (int offset = start; offset < contents.limit(); offset++) {
            contents.position(offset);
            if (readRecord(contents) != null) {
                return true;
            }
        }
        return false;
    }

    private void applyRecord(Wire.Record logRecord) throws IOException {
        switch (logRecord.getWhatCase()) {
            case HEADER -> {}
            case SELF ->
                restoredLog.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Messages.id(logRecord.getSelf()))
                        .setVoting(logRecord.getVoting())
                        .build());
            case FIRST -> restoredLog.persistAndFlushInitialGroupMembers(Messages.decodeMembers(logRecord.getFirst()));
            case TERM ->
                restoredLog.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                        .setTerm(logRecord.getTerm().getTerm())
                        .setVotedFor(
                                logRecord.getTerm().hasVotedFor()
                                        ? Messages.id(logRecord.getTerm().getVotedFor())
                                        : (RaftEndpoint) null)
                        .build());
            case ENTRY -> restoredLog.persistLogEntries(List.of(Messages.decodeEntry(logRecord.getEntry())));
            case CHUNK -> restoredLog.persistSnapshotChunk(Messages.decodeChunk(logRecord.getChunk()));
            case CUT_FROM -> restoredLog.truncateLogEntriesFrom(logRecord.getCutFrom());
            case CUT_UNTIL -> restoredLog.truncateLogEntriesUntil(logRecord.getCutUntil());
            case CHUNKS_GONE -> restoredLog.deleteSnapshotChunks(logRecord.getChunksGone(), 0);
            default -> throw new IllegalArgumentException("record of unknown kind");
        }
    }

    /**
     * The content that was read when the log was opened; later changes to it are written to this log. A second call
     * gives an empty mirror.
     */
    public LogMirror restoredLog() {
        LogMirror held = new LogMirror(restoredLog, this);
        restoredLog = new LogMirror();
        return held;
    }

    /** Erases the log; returns an empty mirror whose changes are written to it. */
    public LogMirror wipe() {
        try {
            startFile();
        } catch (IOException e) {
            reportFailure(e);
        }
        return new LogMirror(new LogMirror(), this);
    }

    /** Sets the listener that is told the first write error. */
    public void onFailure(Consumer<String> listener) {
        failureListener = listener;
    }

    private void reportFailure(IOException e) {
        if (!hasFailed) {
            hasFailed = true;
            failureListener.accept(String.valueOf(e.getMessage()));
        }
    }

    private void runUnlessFailed(DiskOperation operation) throws IOException {
        if (hasFailed) {
            throw new IOException("an earlier write failed; the log accepts no more writes");
        }
        try {
            operation.run();
        } catch (IOException e) {
            reportFailure(e);
            throw e;
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        runUnlessFailed(() -> writer.persistAndFlushLocalEndpoint(state));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        runUnlessFailed(() -> writer.persistAndFlushInitialGroupMembers(members));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        runUnlessFailed(() -> writer.persistAndFlushTerm(state));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        runUnlessFailed(() -> writer.persistLogEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        runUnlessFailed(() -> writer.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        runUnlessFailed(() -> writer.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        runUnlessFailed(() -> writer.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        runUnlessFailed(() -> writer.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        runUnlessFailed(() -> writer.flush());
    }

    @Override
    public void logTruncated(LogMirror mirror) throws IOException {
        if (writer.size() > Math.max(MIN_REWRITE_BYTES, REWRITE_GROWTH_FACTOR * sizeAtRewrite)) {
            runUnlessFailed(() -> rewrite(mirror));
        }
    }

    // The new file is complete and flushed before it is renamed over the old one.
    private void rewrite(LogMirror mirror) throws IOException {
        Path newPath = folder.resolve("log.new");
        FileChannel newFile = create(
                newPath, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        RecordWriter newWriter = new RecordWriter(newFile, 0);
        newWriter.write(header);
        mirror.copyTo(newWriter);
        Files.move(newPath, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
        file.close();
        file = newFile;
        writer = newWriter;
        sizeAtRewrite = newWriter.size();
    }

    private void syncFolder() throws IOException {
        try (FileChannel entries = FileChannel.open(folder, StandardOpenOption.READ)) {
            entries.force(true);
        }
    }

    /** Closes the files and releases the lock. */
    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
        if (file != null) {
            file.close();
        }
    }
}
