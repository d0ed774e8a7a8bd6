package whinlead.replication.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import whinlead.replication.Command;
import whinlead.replication.raft.LogMirror;
import whinlead.replication.raft.Member;
import whinlead.replication.raft.MemberId;

/** A member's log on disk: what is restored, truncated or rejected. */
class DiskLogTest {
    private static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final MemberId ME = new MemberId("a", 7);

    @TempDir
    private Path folder;

    private final List<String> notes = new ArrayList<>();

    private DiskLog open() throws IOException {
        return DiskLog.open(folder, "g", "a", notes::add);
    }

    private static LogEntry entry(long index, int term, int size) {
        return MODELS.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(new Member.Batch(index, List.of(new Command.Drain("r" + index + "x".repeat(size), 1))))
                .build();
    }

    private static LogMirror startLog(DiskLog disk) throws IOException {
        LogMirror log = disk.restoredLog();
        log.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(ME)
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(List.<RaftEndpoint>of(ME))
                .setVotingMembers(List.<RaftEndpoint>of(ME))
                .build());
        log.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(ME)
                .build());
        return log;
    }

    private static List<Long> indices(RestoredRaftState state) {
        return state.getLogEntries().stream().map(LogEntry::getIndex).toList();
    }

    @Test
    void flushedEntriesAreRestored() throws IOException {
        try (DiskLog disk = open()) {
            LogMirror log = startLog(disk);
            log.persistLogEntries(List.of(entry(1, 1, 0), entry(2, 3, 0), entry(3, 3, 0)));
            log.truncateLogEntriesFrom(3);
            log.persistLogEntries(List.of(entry(3, 4, 0)));
            log.flush();
        }
        try (DiskLog disk = open()) {
            RestoredRaftState state = disk.restoredLog().restored();
            assertEquals(ME, state.getLocalEndpointPersistentState().getLocalEndpoint());
            assertEquals(3, state.getTermPersistentState().getTerm());
            assertEquals(ME, state.getTermPersistentState().getVotedFor());
            assertEquals(List.of(1L, 2L, 3L), indices(state));
            assertEquals(4, state.getLogEntries().get(2).getTerm());
            assertEquals(
                    new Member.Batch(2, List.of(new Command.Drain("r2", 1))),
                    state.getLogEntries().get(1).getOperation());
        }
        assertEquals(List.of(), notes);
    }

    /** A log written by the version of commit ce55648, before classes were renamed. */
    @Test
    void aLogOfAnEarlierVersionIsRead() throws IOException {
        try (InputStream in = DiskLogTest.class.getResourceAsStream("/whinlead/state-of-ce55648/replication.log")) {
            Files.copy(in, folder.resolve("log"));
        }
        try (DiskLog disk = open()) {
            RestoredRaftState state = disk.restoredLog().restored();
            assertEquals(ME, state.getLocalEndpointPersistentState().getLocalEndpoint());
            assertEquals(3, state.getTermPersistentState().getTerm());
            assertEquals(ME, state.getTermPersistentState().getVotedFor());
            assertEquals(List.of(1L, 2L, 3L), indices(state));
            assertEquals(
                    new Member.Batch(2, List.of(new Command.Drain("request-2", 1))),
                    state.getLogEntries().get(1).getOperation());
        }
        assertEquals(List.of(), notes);
    }

    @Test
    void anEmptyDiskRestoresNothing() throws IOException {
        try (DiskLog disk = open()) {
            assertNull(disk.restoredLog().restored());
        }
    }

    @Test
    void filesAreAccessibleToTheOwnerOnly() throws IOException {
        try (DiskLog disk = open()) {
            startLog(disk);
            assertEquals("rwx------", PosixFilePermissions.toString(Files.getPosixFilePermissions(folder)));
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(file)));
                }
            }
        }
    }

    /** Wherever the process ends during its last write, exactly the records before that are restored. */
    @Test
    void aTornLastRecordIsTruncatedAtEveryLength() throws IOException {
        long intactBytes;
        try (DiskLog disk = open()) {
            LogMirror log = startLog(disk);
            log.persistLogEntries(List.of(entry(1, 1, 0)));
            log.flush();
            intactBytes = Files.size(folder.resolve("log"));
            log.persistLogEntries(List.of(entry(2, 1, 30)));
            log.flush();
        }
        byte[] bytes = Files.readAllBytes(folder.resolve("log"));
        for (int length = (int) intactBytes + 1; length < bytes.length; length++) {
            Files.write(folder.resolve("log"), Arrays.copyOf(bytes, length));
            notes.clear();
            try (DiskLog disk = open()) {
                assertEquals(List.of(1L), indices(disk.restoredLog().restored()));
            }
            assertEquals(1, notes.size());
            assertEquals(intactBytes, Files.size(folder.resolve("log")));
        }
    }

    @Test
    void damageBeforeIntactRecordsIsRejected() throws IOException {
        try (DiskLog disk = open()) {
            LogMirror log = startLog(disk);
            log.persistLogEntries(List.of(entry(1, 1, 0), entry(2, 1, 0), entry(3, 1, 0)));
            log.flush();
        }
        byte[] bytes = Files.readAllBytes(folder.resolve("log"));
        int middle = new String(bytes, StandardCharsets.ISO_8859_1).indexOf("r2");
        bytes[middle] ^= 1;
        Files.write(folder.resolve("log"), bytes);
        IOException rejected = assertThrows(IOException.class, this::open);
        assertTrue(rejected.getMessage().contains("damaged"), rejected::getMessage);
        // The file is left unchanged for analysis.
        assertEquals(bytes.length, Files.size(folder.resolve("log")));
    }

    /**
     * Flips single random bits: either what was written is read, possibly without the last record, or the file is
     * rejected.
     */
    @Test
    void aFlippedBitIsNeverReadAsValidData() throws IOException {
        try (DiskLog disk = open()) {
            LogMirror log = startLog(disk);
            for (int i = 1; i <= 20; i++) {
                log.persistLogEntries(List.of(entry(i, 1, i)));
            }
            log.flush();
        }
        byte[] bytes = Files.readAllBytes(folder.resolve("log"));
        Random random = new Random(1);
        int rejected = 0;
        for (int i = 0; i < 300; i++) {
            byte[] flipped = bytes.clone();
            flipped[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
            Files.write(folder.resolve("log"), flipped);
            try (DiskLog disk = open()) {
                List<Long> read = indices(disk.restoredLog().restored());
                assertTrue(read.size() >= 19, read::toString);
                for (int k = 0; k < read.size(); k++) {
                    assertEquals(k + 1, read.get(k));
                }
            } catch (IOException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 200, "refused " + rejected);
    }

    @Test
    void aFileInUseOrOfAnotherMemberIsRejected() throws IOException {
        try (DiskLog disk = open()) {
            startLog(disk);
            assertTrue(assertThrows(IOException.class, this::open).getMessage().contains("in use"));
        }
        assertTrue(assertThrows(IOException.class, () -> DiskLog.open(folder, "g", "b", notes::add))
                .getMessage()
                .contains("another member"));
        open().close();
    }

    @Test
    void aLongLogIsCompactedAndStaysReadable() throws IOException {
        try (DiskLog disk = open()) {
            LogMirror log = startLog(disk);
            for (long i = 1; i <= 3000; i++) {
                log.persistLogEntries(List.of(entry(i, 3, 1000)));
            }
            log.persistSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                    .setIndex(2990)
                    .setTerm(3)
                    .setSnapshotChunkIndex(0)
                    .setSnapshotChunkCount(1)
                    .setGroupMembersView(MODELS.createRaftGroupMembersViewBuilder()
                            .setLogIndex(0)
                            .setMembers(List.<RaftEndpoint>of(ME))
                            .setVotingMembers(List.<RaftEndpoint>of(ME))
                            .build())
                    .setOperation(new Member.Chunk(2990, 99, Map.of("e", 5L), List.of()))
                    .build());
            log.flush();
            log.truncateLogEntriesUntil(2990);
            log.persistLogEntries(List.of(entry(3001, 3, 0)));
            log.flush();
            assertTrue(Files.size(folder.resolve("log")) < 100_000);
        }
        try (DiskLog disk = open()) {
            RestoredRaftState state = disk.restoredLog().restored();
            assertEquals(2990, state.getSnapshotEntry().getIndex());
            assertEquals(11, state.getLogEntries().size());
            assertEquals(ME, state.getTermPersistentState().getVotedFor());
        }
    }

    @Test
    void aFailedDiskReportsOnceAndRejectsAllLaterWrites() throws IOException {
        List<String> failures = new ArrayList<>();
        DiskLog disk = open();
        LogMirror log = startLog(disk);
        disk.onFailure(failures::add);
        // Simulates a disk that has disappeared.
        disk.close();
        for (int i = 0; i < 3; i++) {
            assertThrows(IOException.class, () -> {
                log.persistLogEntries(List.of(entry(1, 1, 0)));
                log.flush();
            });
        }
        assertEquals(1, failures.size());
    }
}
