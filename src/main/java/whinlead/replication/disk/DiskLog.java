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
 * A member's log on a disk that lasts: one file of records, each with a checksum, written anew once its beginning is
 * long out of date. A record that was being written when the process ended is cut off; one that is damaged with good
 * ones behind it means that what was promised is lost, and the file is refused. Files are the owner's only, and one
 * process has them at a time. What the disk does not take is told once, and the member is to step aside. On the
 * engine's thread, which waits for the disk: nothing is promised before it is written.
 */
public final class DiskLog implements MemberDisk, Closeable {
    private static final int VERSION = 1;
    /** A file is written anew when it is over this and four times as long as when that was last done. */
    private static final long MIN_ANEW = 1 << 20;

    private static final int GROWTH = 4;
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();

    private interface Step {
        void run() throws IOException;
    }

    private final Path folder;
    private final Wire.Record header;
    private final FileChannel lockFile;
    private final FileLock lock;
    private Consumer<String> failed = why -> {};
    private LogMirror found = new LogMirror();
    private FileChannel file;
    private RecordWriter writer;
    private long sizeAnew;
    private boolean faulty;

    private DiskLog(Path folder, Wire.Record header, FileChannel lockFile, FileLock lock) {
        this.folder = folder;
        this.header = header;
        this.lockFile = lockFile;
        this.lock = lock;
    }

    /**
     * Opens the log of this member in this folder, or begins one.
     *
     * @param note hears of a torn end that was cut
     * @throws IOException with one line, if it can't be used: in use, damaged, another member's
     */
    public static DiskLog open(Path folder, String group, String name, Consumer<String> note) throws IOException {
        Files.createDirectories(folder);
        Files.setPosixFilePermissions(folder, PosixFilePermissions.fromString("rwx------"));
        FileChannel lockFile = create(folder.resolve("lock"), StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // This very process has it.
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(folder + " is in use by another process");
        }
        Wire.Record header = Wire.Record.newBuilder()
                .setHeader(Wire.Header.newBuilder()
                        .setVersion(VERSION)
                        .setGroup(group)
                        .setName(name))
                .build();
        DiskLog disk = new DiskLog(folder, header, lockFile, lock);
        try {
            disk.read(note);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
        return disk;
    }

    private static FileChannel create(Path path, StandardOpenOption... how) throws IOException {
        Set<StandardOpenOption> all = EnumSet.copyOf(List.of(how));
        all.add(StandardOpenOption.CREATE);
        return FileChannel.open(
                path, all, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    }

    private Path path() {
        return folder.resolve("log");
    }

    private void read(Consumer<String> note) throws IOException {
        file = create(path(), StandardOpenOption.READ, StandardOpenOption.WRITE);
        long size = file.size();
        if (size == 0) {
            begin();
            return;
        }
        ByteBuffer all = file.map(FileChannel.MapMode.READ_ONLY, 0, size);
        boolean any = false;
        while (all.hasRemaining()) {
            int at = all.position();
            Wire.Record record = next(all);
            if (record == null) {
                if (goodAfter(all, at + 1)) {
                    throw new IOException(path() + " is damaged at byte " + at + " with good records behind it");
                }
                note.accept("copies: " + path() + " ended in the midst of a record; " + (size - at) + " bytes cut off");
                file.truncate(at);
                file.force(true);
                size = at;
                break;
            }
            if (!any && !record.equals(header)) {
                throw new IOException(path() + " is of another member, group or version");
            }
            any = true;
            try {
                take(record);
            } catch (IllegalArgumentException e) {
                throw new IOException(path() + " has a record that this version can't read, at byte " + at, e);
            }
        }
        if (!any) {
            begin();
            return;
        }
        file.position(size);
        writer = new RecordWriter(file, size);
        sizeAnew = size;
    }

    private void begin() throws IOException {
        file.truncate(0);
        file.position(0);
        writer = new RecordWriter(file, 0);
        writer.write(header);
        writer.flush();
        sizeAnew = writer.size();
        syncFolder();
    }

    /** The record at the buffer's place, which moves behind it; null if there is no whole one. */
    private static Wire.Record next(ByteBuffer all) {
        if (all.remaining() < RecordWriter.FRAME) {
            return null;
        }
        int length = all.getInt();
        int sum = all.getInt();
        if (length <= 0 || length > RecordWriter.MAX_RECORD || length > all.remaining()) {
            return null;
        }
        ByteBuffer bytes = all.slice(all.position(), length);
        CRC32C own = new CRC32C();
        own.update(bytes.duplicate());
        if ((int) own.getValue() != sum) {
            return null;
        }
        all.position(all.position() + length);
        try {
            return Wire.Record.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    private static boolean goodAfter(ByteBuffer all, int from) {
        for (int at = from; at < all.limit(); at++) {
            all.position(at);
            if (next(all) != null) {
                return true;
            }
        }
        return false;
    }

    private void take(Wire.Record r) throws IOException {
        switch (r.getWhatCase()) {
            case HEADER -> {}
            case SELF ->
                found.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(Messages.id(r.getSelf()))
                        .setVoting(r.getVoting())
                        .build());
            case FIRST -> found.persistAndFlushInitialGroupMembers(Messages.members(r.getFirst()));
            case TERM ->
                found.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                        .setTerm(r.getTerm().getTerm())
                        .setVotedFor(
                                r.getTerm().hasVotedFor()
                                        ? Messages.id(r.getTerm().getVotedFor())
                                        : (RaftEndpoint) null)
                        .build());
            case ENTRY -> found.persistLogEntries(List.of(Messages.entry(r.getEntry())));
            case CHUNK -> found.persistSnapshotChunk(Messages.chunk(r.getChunk()));
            case CUT_FROM -> found.truncateLogEntriesFrom(r.getCutFrom());
            case CUT_UNTIL -> found.truncateLogEntriesUntil(r.getCutUntil());
            case CHUNKS_GONE -> found.deleteSnapshotChunks(r.getChunksGone(), 0);
            default -> throw new IllegalArgumentException("a record of no known kind");
        }
    }

    /** What it held when it was opened, or nothing; what is done to that is written here. */
    public LogMirror found() {
        LogMirror held = new LogMirror(found, this);
        found = new LogMirror();
        return held;
    }

    /** Forgets all that it holds. */
    public LogMirror wiped() {
        try {
            begin();
        } catch (IOException e) {
            fail(e);
        }
        return new LogMirror(new LogMirror(), this);
    }

    /** Hears once why this disk takes nothing more. */
    public void onFailure(Consumer<String> listener) {
        failed = listener;
    }

    private void fail(IOException e) {
        if (!faulty) {
            faulty = true;
            failed.accept(String.valueOf(e.getMessage()));
        }
    }

    private void guarded(Step step) throws IOException {
        if (faulty) {
            throw new IOException("the disk has failed before");
        }
        try {
            step.run();
        } catch (IOException e) {
            fail(e);
            throw e;
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        guarded(() -> writer.persistAndFlushLocalEndpoint(state));
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
        guarded(() -> writer.persistAndFlushInitialGroupMembers(members));
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        guarded(() -> writer.persistAndFlushTerm(state));
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        guarded(() -> writer.persistLogEntries(entries));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        guarded(() -> writer.persistSnapshotChunk(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        guarded(() -> writer.truncateLogEntriesFrom(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        guarded(() -> writer.truncateLogEntriesUntil(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        guarded(() -> writer.deleteSnapshotChunks(index, count));
    }

    @Override
    public void flush() throws IOException {
        guarded(() -> writer.flush());
    }

    @Override
    public void shortened(LogMirror held) throws IOException {
        if (writer.size() > Math.max(MIN_ANEW, GROWTH * sizeAnew)) {
            guarded(() -> writeAnew(held));
        }
    }

    // Whole and on the disk before it takes the old one's name.
    private void writeAnew(LogMirror held) throws IOException {
        Path next = folder.resolve("log.new");
        FileChannel anew =
                create(next, StandardOpenOption.READ, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        RecordWriter into = new RecordWriter(anew, 0);
        into.write(header);
        held.copyTo(into);
        Files.move(next, path(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncFolder();
        file.close();
        file = anew;
        writer = into;
        sizeAnew = into.size();
    }

    private void syncFolder() throws IOException {
        try (FileChannel entries = FileChannel.open(folder, StandardOpenOption.READ)) {
            entries.force(true);
        }
    }

    /** Ends what was written and lets another process have the files. */
    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
        if (file != null) {
            file.close();
        }
    }
}
