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

/** What the state store gives back, and what it refuses. */
public class StateStoreTest {
    private static final int PAGE = 4096;

    private Path base;
    private Path folder;
    private Path file;

    @BeforeMethod
    public void make() throws IOException {
        base = Files.createTempDirectory("state store");
        folder = base.resolve("a").resolve("b");
        file = folder.resolve("office.db");
    }

    @AfterMethod
    public void remove() throws IOException {
        try (Stream<Path> all = Files.walk(base)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private static byte[] memory(int fill) {
        byte[] m = new byte[1500];
        Arrays.fill(m, (byte) fill);
        return m;
    }

    private void written(String id, byte[] memory) throws StateStoreException {
        try (StateStore l = StateStore.open(folder)) {
            l.write(id, memory);
        }
    }

    private String refused() {
        return expectThrows(StateStoreException.class, () -> {
                    try (StateStore l = StateStore.open(folder)) {
                        l.read();
                    }
                })
                .getMessage();
    }

    // What a process that is killed now would leave.
    private Path copy() throws IOException {
        Path to = Files.createDirectory(base.resolve("copy"));
        try (Stream<Path> list = Files.list(folder)) {
            for (Path p : list.toList()) {
                Files.copy(p, to.resolve(p.getFileName()));
            }
        }
        return to;
    }

    @Test
    public void givesWhatWasWrittenLast() throws StateStoreException {
        try (StateStore l = StateStore.open(folder)) {
            assertNull(l.read());
            l.write("a#0", memory(1));
            l.write("a#0", memory(2));
            assertEquals(l.read().memory(), memory(2));
        }
        try (StateStore l = StateStore.open(folder)) {
            assertEquals(l.read().id(), "a#0");
            assertEquals(l.read().memory(), memory(2));
        }
    }

    @Test
    public void writesAgainOnceAFullDiskHasRoom() throws Exception {
        try (StateStore l = StateStore.open(folder)) {
            l.write("a#0", memory(1));
            java.lang.reflect.Field field = StateStore.class.getDeclaredField("connection");
            field.setAccessible(true);
            try (Statement s = ((Connection) field.get(l)).createStatement()) {
                s.execute("PRAGMA max_page_count=2");
                for (int i = 0; i < 3; i++) {
                    assertThrows(StateStoreException.class, () -> l.write("a#0", new byte[50_000]));
                }
                s.execute("PRAGMA max_page_count=1000000");
            }
            assertEquals(l.read().memory(), memory(1));
            l.write("a#0", new byte[50_000]);
            assertEquals(l.read().memory().length, 50_000);
        }
    }

    @Test
    public void anEmptyFileIsANewStateStore() throws StateStoreException, IOException {
        Files.createDirectories(folder);
        Files.createFile(file);
        try (StateStore l = StateStore.open(folder)) {
            assertNull(l.read());
            l.write("a#0", memory(1));
            assertEquals(l.read().memory(), memory(1));
        }
    }

    @Test
    public void readsAStateStoreOfBeforeAndGuardsItFromThenOn() throws Exception {
        Files.createDirectories(folder);
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement s = c.createStatement()) {
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("CREATE TABLE IF NOT EXISTS office"
                    + " (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL, memory BLOB NOT NULL)");
            s.execute("INSERT INTO office VALUES (1, 'a#0', x'" + "07".repeat(1500) + "')");
        }
        try (StateStore l = StateStore.open(folder)) {
            assertEquals(l.read().memory(), memory(7));
        }
        spoil(7);
        assertTrue(refused().contains("damaged"));
    }

    // One bit of the first byte in the file from which on this fill stands.
    private void spoil(int fill) throws IOException {
        byte[] all = Files.readAllBytes(file);
        int at = 0;
        while (!Arrays.equals(all, at, at + 100, memory(fill), 0, 100)) {
            at++;
        }
        all[at + 50] ^= 4;
        Files.write(file, all);
    }

    @Test
    public void aDamagedMemoryIsRefused() throws StateStoreException, IOException {
        written("a#0", memory(9));
        spoil(9);
        assertEquals(refused(), "the state store's entry is damaged; remove it to join as a new control node");
    }

    @Test
    public void aRowHiddenByADamagedPageIsNoNewStateStore() throws StateStoreException, IOException {
        written("a#0", memory(9));
        byte[] all = Files.readAllBytes(file);
        // The number of cells on the table's only page.
        assertEquals(all[PAGE + 4], 1);
        all[PAGE + 4] = 0;
        Files.write(file, all);
        assertTrue(refused().contains("damaged"));
    }

    @Test
    public void aLogWithoutItsFileIsNoNewStateStore() throws StateStoreException, IOException {
        try (StateStore l = StateStore.open(folder)) {
            l.write("a#0", memory(1));
            folder = copy();
        }
        Files.delete(folder.resolve("office.db"));
        assertTrue(refused().contains("has a log, but no office.db"));
        assertTrue(Files.size(folder.resolve("office.db-wal")) > 0, "refused, and left as it was");
    }

    @Test
    public void aStateStoreOfALaterVersionIsRefused() throws Exception {
        written("a#0", memory(1));
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement s = c.createStatement()) {
            s.execute("PRAGMA user_version=2");
        }
        assertTrue(refused().contains("later version"));
    }

    @Test
    public void writesAgainAfterARefusedWrite() throws Exception {
        written("a#0", memory(1));
        // Stands for a disk that is full for a while: an error that is no broken constraint.
        try (Connection c = DriverManager.getConnection("jdbc:sqlite:" + file);
                Statement s = c.createStatement()) {
            s.execute("CREATE TRIGGER refuse BEFORE INSERT ON office WHEN new.id = 'full'"
                    + " BEGIN SELECT abs(-9223372036854775807 - 1); END");
        }
        try (StateStore l = StateStore.open(folder)) {
            assertThrows(StateStoreException.class, () -> l.write("full", memory(2)));
            assertEquals(l.read().memory(), memory(1));
            l.write("a#0", memory(3));
            assertEquals(l.read().memory(), memory(3));
        }
    }

    @Test
    public void theNamesOfANewStateStoreAreSynced() throws StateStoreException {
        Recorder r = new Recorder();
        StateStore.open(folder, r).close();
        assertEquals(r.asked, List.of("folder " + base, "folder " + folder.getParent(), "folder " + folder));
    }

    @Test
    public void theLogOfAKilledProcessIsSyncedBeforeItIsRead() throws StateStoreException, IOException {
        try (StateStore l = StateStore.open(folder)) {
            l.write("a#0", memory(1));
            folder = copy();
        }
        Recorder r = new Recorder();
        try (StateStore l = StateStore.open(folder, r)) {
            assertEquals(r.asked, List.of("file " + folder.resolve("office.db-wal")));
            assertEquals(l.read().memory(), memory(1));
        }
    }

    @Test
    public void aSyncThatFailsRefusesTheStateStore() throws StateStoreException {
        written("a#0", memory(1));
        assertThrows(
                StateStoreException.class,
                () -> StateStore.open(base.resolve("other"), new Syncer() {
                    @Override
                    public void file(Path synced) {}

                    @Override
                    public void folder(Path synced) throws IOException {
                        throw new IOException("no sync");
                    }
                }));
    }

    private static final class Recorder implements Syncer {
        private final List<String> asked = new ArrayList<>();

        @Override
        public void file(Path synced) throws IOException {
            asked.add("file " + synced);
            DISK.file(synced);
        }

        @Override
        public void folder(Path synced) throws IOException {
            asked.add("folder " + synced);
            DISK.folder(synced);
        }
    }
}
