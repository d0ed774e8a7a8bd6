package whinlead.mesh.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** State stores written in turn by versions with different formats, using the SQL statements of each version. */
public class OtherFormatTest {
    private static final String ID = "10.0.0.1#0";

    private Path folder;

    /** The SQL statements of an earlier version. */
    private enum Predecessor {
        /** Format 0: no checksum. */
        WITHOUT_CHECKSUM(
                "CREATE TABLE IF NOT EXISTS office"
                        + " (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL, memory BLOB NOT NULL)",
                "INSERT INTO office VALUES (1, ?, ?)"
                        + " ON CONFLICT (one) DO UPDATE SET id = excluded.id, memory = excluded.memory",
                null),
        /** Format 1, which accepts no other format number in its file. */
        WITH_COLUMN(
                "CREATE TABLE IF NOT EXISTS office (one INTEGER PRIMARY KEY CHECK (one = 1),"
                        + " id TEXT NOT NULL, memory BLOB NOT NULL, crc INTEGER)",
                "INSERT INTO office VALUES (1, ?, ?, ?) ON CONFLICT (one) DO UPDATE SET id = excluded.id,"
                        + " memory = excluded.memory, crc = excluded.crc",
                "PRAGMA user_version=1");

        private final String create;
        private final String write;
        private final String format;

        Predecessor(String create, String write, String format) {
            this.create = create;
            this.write = write;
            this.format = format;
        }

        private void open(Connection connection) throws SQLException {
            try (Statement statement = connection.createStatement()) {
                statement.execute("PRAGMA journal_mode=WAL");
                statement.execute(create);
                if (format != null) {
                    statement.execute(format);
                }
            }
        }

        private void write(Path folder, byte[] state) throws SQLException {
            try (Connection connection = connect(folder)) {
                open(connection);
                try (PreparedStatement statement = connection.prepareStatement(write)) {
                    statement.setString(1, ID);
                    statement.setBytes(2, state);
                    if (this == WITH_COLUMN) {
                        statement.setLong(3, checksum(state));
                    }
                    statement.executeUpdate();
                }
            }
        }

        private byte[] read(Path folder) throws SQLException {
            try (Connection connection = connect(folder)) {
                open(connection);
                try (Statement statement = connection.createStatement();
                        ResultSet rows = statement.executeQuery("SELECT * FROM office")) {
                    assertTrue(rows.next());
                    assertEquals(rows.getString(2), ID);
                    byte[] state = rows.getBytes(3);
                    assertTrue(this == WITHOUT_CHECKSUM || rows.getLong(4) == checksum(state));
                    assertFalse(rows.next(), "one row");
                    return state;
                }
            }
        }
    }

    private static Connection connect(Path folder) throws SQLException {
        return DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("office.db"));
    }

    private static long checksum(byte[] state) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(ID.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(state);
        return crc.getValue();
    }

    private static byte[] filled(int fill) {
        byte[] bytes = new byte[1500];
        Arrays.fill(bytes, (byte) fill);
        return bytes;
    }

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("state store");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private void execute(String statement) throws SQLException {
        try (Connection connection = connect(folder);
                Statement sql = connection.createStatement()) {
            sql.execute(statement);
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

    @Test
    public void predecessorsAndThisVersionReadEachOthersWrites() throws Exception {
        for (Predecessor predecessor : Predecessor.values()) {
            int fill = 1;
            predecessor.write(folder, filled(fill));
            for (int turn = 0; turn < 3; turn++) {
                try (StateStore store = StateStore.open(folder)) {
                    assertEquals(store.read().state(), filled(fill), predecessor + " wrote this state");
                    assertEquals(store.read().id(), ID);
                    store.write(ID, filled(++fill));
                    store.write(ID, filled(++fill));
                    assertEquals(store.read().state(), filled(fill));
                }
                assertEquals(
                        predecessor.read(folder),
                        filled(fill),
                        predecessor + " reads the state that this version wrote");
                predecessor.write(folder, filled(++fill));
                assertEquals(predecessor.read(folder), filled(fill));
            }
            deleteFolder();
            Files.createDirectory(folder);
        }
    }

    @Test
    public void newStoreIsReadAndWrittenByPreviousVersion() throws Exception {
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(1));
        }
        assertEquals(Predecessor.WITH_COLUMN.read(folder), filled(1));
        Predecessor.WITH_COLUMN.write(folder, filled(2));
        try (StateStore store = StateStore.open(folder)) {
            assertEquals(store.read().state(), filled(2));
        }
    }

    // The previous version upgraded format 0 to 1 by these statements, and may do so after this version has run.
    @Test
    public void upgradeByPreviousVersionIsRead() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, filled(1));
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(2));
        }
        execute("ALTER TABLE office ADD COLUMN crc INTEGER");
        execute("UPDATE office SET crc = " + checksum(filled(2)));
        Predecessor.WITH_COLUMN.write(folder, filled(3));
        try (StateStore store = StateStore.open(folder)) {
            assertEquals(store.read().state(), filled(3));
            store.write(ID, filled(4));
        }
        assertEquals(Predecessor.WITH_COLUMN.read(folder), filled(4));
    }

    @Test
    public void columnsAndTablesOfLaterVersionArePreserved() throws Exception {
        for (Predecessor predecessor : Predecessor.values()) {
            predecessor.write(folder, filled(1));
            execute("ALTER TABLE office ADD COLUMN later TEXT DEFAULT 'kept'");
            execute("CREATE TABLE later (x)");
            try (StateStore store = StateStore.open(folder)) {
                assertEquals(store.read().state(), filled(1));
                store.write(ID, filled(2));
                assertEquals(store.read().state(), filled(2));
            }
            try (Connection connection = connect(folder);
                    Statement statement = connection.createStatement();
                    ResultSet rows = statement.executeQuery("SELECT later FROM office")) {
                assertEquals(rows.getString(1), "kept");
            }
            deleteFolder();
            Files.createDirectory(folder);
        }
    }

    // Detected only after this version has opened the store: from then on its writes have checksums in every format.
    @Test
    public void damagedStateIsRejectedInFormatZero() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, filled(1));
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(9));
        }
        Path file = folder.resolve("office.db");
        byte[] bytes = Files.readAllBytes(file);
        int offset = 0;
        while (!Arrays.equals(bytes, offset, offset + 100, filled(9), 0, 100)) {
            offset++;
        }
        bytes[offset + 50] ^= 4;
        Files.write(file, bytes);
        assertTrue(readError().contains("the state store's entry is damaged"));
    }

    @Test
    public void missingChecksumIsRejectedAsDamage() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, filled(1));
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(2));
        }
        execute("DELETE FROM checksum");
        assertTrue(readError().contains("the state store's entry is damaged"));
    }

    // Neither the new state nor its checksum may be stored alone.
    @Test
    public void failedWriteLeavesFormatZeroConsistent() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, filled(1));
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(2));
        }
        // Simulates a disk that is full for a while: an error that is not a constraint violation.
        execute("CREATE TRIGGER refuse BEFORE UPDATE OF crc ON checksum WHEN new.crc IS NOT NULL"
                + " AND (SELECT id FROM office) = 'full' BEGIN SELECT abs(-9223372036854775807 - 1); END");
        try (StateStore store = StateStore.open(folder)) {
            expectThrows(StateStoreException.class, () -> store.write("full", filled(3)));
            assertEquals(store.read().state(), filled(2));
            store.write(ID, filled(4));
            assertEquals(store.read().state(), filled(4));
        }
    }

    @Test
    public void laterFormatIsRejectedAndLeftUnchanged() throws Exception {
        try (StateStore store = StateStore.open(folder)) {
            store.write(ID, filled(1));
        }
        execute("PRAGMA user_version=7");
        List<Path> before;
        try (Stream<Path> list = Files.list(folder)) {
            before = list.toList();
        }
        byte[] file = Files.readAllBytes(folder.resolve("office.db"));
        assertTrue(readError().contains("its format is 7, this program knows 0 to 1"), readError());
        assertEquals(Files.readAllBytes(folder.resolve("office.db")), file);
        try (Stream<Path> list = Files.list(folder)) {
            assertEquals(list.toList(), before);
        }
    }
}
