package whinlead.mesh.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the state store returns, and what it rejects. */
public class StateStoreTest {
    private static final int PAGE = 4096;

    private Path base;
    private Path folder;
    private Path file;

    @BeforeMethod
    public void createPaths() throws IOException {
        base = Files.createTempDirectory("state store");
        folder = base.resolve("a").resolve("b");
        file = folder.resolve("office.db");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (Stream<Path> all = Files.walk(base)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private static byte[] filled(int fill) {
        byte[] bytes = new byte[1500];
        Arrays.fill(bytes, (byte) fill);
        return bytes;
    }

    private void writeState(String id, byte[] state) throws StateStoreException {
        try (StateStore store = StateStore.open(folder)) {
            store.write(id, state);
        }
    }

    private String readError() {
        return expectThrows(StateStoreException.class, () -> {
                    try (StateStore store = StateStore.open(folder)) {
                        store.read();
                    }
                })
                .getMessage();
    }

    // Copies the files as they would be left if the process were killed now.
    private Path copyFolder() throws IOException {
        Path target = Files.createDirectory(base.resolve("copy"));
        try (Stream<Path> list = Files.list(folder)) {
            for (Path p : list.toList()) {
                Files.copy(p, target.resolve(p.getFileName()));
            }
        }
        return target;
    }

    @Test
    public void returnsLastWrittenState() throws StateStoreException {
        try (StateStore store = StateStore.open(folder)) {
            assertNull(store.read());
            store.write("a#0", filled(1));
            store.write("a#0", filled(2));
            assertEquals(store.read().state(), filled(2));
        }
        try (StateStore store = StateStore.open(folder)) {
            assertEquals(store.read().id(), "a#0");
            assertEquals(store.read().state(), filled(2));
        }
    }

    @Test
    public void writesAgainAfterFullDiskHasSpace() throws Exception {
        try (StateStore store = StateStore.open(folder)) {
            store.write("a#0", filled(1));
            java.lang.reflect.Field field = StateStore.class.getDeclaredField("connection");
            field.setAccessible(true);
            try (Statement statement = ((Connection) field.get(store)).createStatement()) {
                statement.execute("PRAGMA max_page_count=2");
                for (int i = 0; i < 3; i++) {
                    assertThrows(StateStoreException.class, () -> store.write("a#0", new byte[50_000]));
                }
                statement.execute("PRAGMA max_page_count=1000000");
            }
            assertEquals(store.read().state(), filled(1));
            store.write("a#0", new byte[50_000]);
            assertEquals(store.read().state().length, 50_000);
        }
    }

    @Test
    public void emptyFileIsNewStore() throws StateStoreException, IOException {
        Files.createDirectories(folder);
        Files.createFile(file);
        try (StateStore store = StateStore.open(folder)) {
            assertNull(store.read());
            store.write("a#0", filled(1));
            assertEquals(store.read().state(), filled(1));
        }
    }

    @Test
    public void addsChecksumToStoreOfEarlierVersion() throws Exception {
        Files.createDirectories(folder);
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA journal_mode=WAL");
            statement.execute("CREATE TABLE IF NOT EXISTS office"
                    + " (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL, memory BLOB NOT NULL)");
            statement.execute("INSERT INTO office VALUES (1, 'a#0', x'" + "07".repeat(1500) + "')");
        }
        try (StateStore store = StateStore.open(folder)) {
            assertEquals(store.read().state(), filled(7));
        }
        corrupt(7);
        assertTrue(readError().contains("damaged"));
    }

    // Flips one bit in the first run of this fill byte in the file.
    private void corrupt(int fill) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int offset = 0;
        while (!Arrays.equals(bytes, offset, offset + 100, filled(fill), 0, 100)) {
            offset++;
        }
        bytes[offset + 50] ^= 4;
        Files.write(file, bytes);
    }

    @Test
    public void damagedStateIsRejected() throws StateStoreException, IOException {
        writeState("a#0", filled(9));
        corrupt(9);
        assertEquals(readError(), "the state store's entry is damaged; remove it to join as a new control node");
    }

    @Test
    public void rowHiddenByDamagedPageIsNotNewStore() throws StateStoreException, IOException {
        writeState("a#0", filled(9));
        byte[] bytes = Files.readAllBytes(file);
        // The number of cells on the table's only page.
        assertEquals(bytes[PAGE + 4], 1);
        bytes[PAGE + 4] = 0;
        Files.write(file, bytes);
        assertTrue(readError().contains("damaged"));
    }

    @Test
    public void logWithoutDatabaseFileIsNotNewStore() throws StateStoreException, IOException {
        try (StateStore store = StateStore.open(folder)) {
            store.write("a#0", filled(1));
            folder = copyFolder();
        }
        Files.delete(folder.resolve("office.db"));
        assertTrue(readError().contains("has a log, but no office.db"));
        assertTrue(Files.size(folder.resolve("office.db-wal")) > 0, "rejected and left unchanged");
    }

    @Test
    public void storeOfLaterVersionIsRejected() throws Exception {
        writeState("a#0", filled(1));
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement statement = connection.createStatement()) {
            statement.execute("PRAGMA user_version=2");
        }
        assertTrue(readError().contains("later version"));
    }

    @Test
    public void writesAgainAfterFailedWrite() throws Exception {
        writeState("a#0", filled(1));
        // Simulates a disk that is full for a while: an error that is not a constraint violation.
        try (Connection connection = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement statement = connection.createStatement()) {
            statement.execute("CREATE TRIGGER refuse BEFORE INSERT ON office WHEN new.id = 'full'"
                    + " BEGIN SELECT abs(-9223372036854775807 - 1); END");
        }
        try (StateStore store = StateStore.open(folder)) {
            assertThrows(StateStoreException.class, () -> store.write("full", filled(2)));
            assertEquals(store.read().state(), filled(1));
            store.write("a#0", filled(3));
            assertEquals(store.read().state(), filled(3));
        }
    }

    @Test
    public void foldersOfNewStoreAreSynced() throws StateStoreException {
        RecordingSyncer recorder = new RecordingSyncer();
        StateStore.open(folder, recorder).close();
        assertEquals(recorder.syncs, List.of("folder " + base, "folder " + folder.getParent(), "folder " + folder));
    }

    @Test
    public void logOfKilledProcessIsSyncedBeforeReading() throws StateStoreException, IOException {
        try (StateStore store = StateStore.open(folder)) {
            store.write("a#0", filled(1));
            folder = copyFolder();
        }
        RecordingSyncer recorder = new RecordingSyncer();
        try (StateStore store = StateStore.open(folder, recorder)) {
            assertEquals(recorder.syncs, List.of("file " + folder.resolve("office.db-wal")));
            assertEquals(store.read().state(), filled(1));
        }
    }

    @Test
    public void failedSyncPreventsOpening() throws StateStoreException {
        writeState("a#0", filled(1));
        assertThrows(
                StateStoreException.class,
                () -> StateStore.open(base.resolve("other"), new Syncer() {
                    @Override
                    public void syncFile(Path synced) {}

                    @Override
                    public void syncFolder(Path synced) throws IOException {
                        throw new IOException("no sync");
                    }
                }));
    }

    private static final class RecordingSyncer implements Syncer {
        private final List<String> syncs = new ArrayList<>();

        @Override
        public void syncFile(Path synced) throws IOException {
            syncs.add("file " + synced);
            DISK.syncFile(synced);
        }

        @Override
        public void syncFolder(Path synced) throws IOException {
            syncs.add("folder " + synced);
            DISK.syncFolder(synced);
        }
    }
}
