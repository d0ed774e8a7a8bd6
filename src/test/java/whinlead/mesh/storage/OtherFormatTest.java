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

/** State stores that programs of several formats write in turn, by the statements of each. */
public class OtherFormatTest {
    private static final String ID = "10.0.0.1#0";

    private Path folder;

    /** The statements of an earlier program. */
    private enum Predecessor {
        /** Format 0: no checksum. */
        WITHOUT_CHECKSUM(
                "CREATE TABLE IF NOT EXISTS office"
                        + " (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL, memory BLOB NOT NULL)",
                "INSERT INTO office VALUES (1, ?, ?)"
                        + " ON CONFLICT (one) DO UPDATE SET id = excluded.id, memory = excluded.memory",
                null),
        /** Format 1, which accepts no other number in its file. */
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

        private void open(Connection c) throws SQLException {
            try (Statement s = c.createStatement()) {
                s.execute("PRAGMA journal_mode=WAL");
                s.execute(create);
                if (format != null) {
                    s.execute(format);
                }
            }
        }

        private void write(Path folder, byte[] memory) throws SQLException {
            try (Connection c = connect(folder)) {
                open(c);
                try (PreparedStatement p = c.prepareStatement(write)) {
                    p.setString(1, ID);
                    p.setBytes(2, memory);
                    if (this == WITH_COLUMN) {
                        p.setLong(3, checksum(memory));
                    }
                    p.executeUpdate();
                }
            }
        }

        private byte[] read(Path folder) throws SQLException {
            try (Connection c = connect(folder)) {
                open(c);
                try (Statement s = c.createStatement();
                        ResultSet r = s.executeQuery("SELECT * FROM office")) {
                    assertTrue(r.next());
                    assertEquals(r.getString(2), ID);
                    byte[] memory = r.getBytes(3);
                    assertTrue(this == WITHOUT_CHECKSUM || r.getLong(4) == checksum(memory));
                    assertFalse(r.next(), "one row");
                    return memory;
                }
            }
        }
    }

    private static Connection connect(Path folder) throws SQLException {
        return DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("office.db"));
    }

    private static long checksum(byte[] memory) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(ID.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(memory);
        return crc.getValue();
    }

    private static byte[] memory(int fill) {
        byte[] m = new byte[1500];
        Arrays.fill(m, (byte) fill);
        return m;
    }

    @BeforeMethod
    public void make() throws IOException {
        folder = Files.createTempDirectory("state store");
    }

    @AfterMethod(alwaysRun = true)
    public void remove() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private void execute(String statement) throws SQLException {
        try (Connection c = connect(folder);
                Statement s = c.createStatement()) {
            s.execute(statement);
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

    @Test
    public void everyPredecessorWritesAfterThisProgramAndThisOneAfterIt() throws Exception {
        for (Predecessor p : Predecessor.values()) {
            int fill = 1;
            p.write(folder, memory(fill));
            for (int turn = 0; turn < 3; turn++) {
                try (StateStore l = StateStore.open(folder)) {
                    assertEquals(l.read().memory(), memory(fill), p + " wrote it");
                    assertEquals(l.read().id(), ID);
                    l.write(ID, memory(++fill));
                    l.write(ID, memory(++fill));
                    assertEquals(l.read().memory(), memory(fill));
                }
                assertEquals(p.read(folder), memory(fill), p + " reads what this program wrote");
                p.write(folder, memory(++fill));
                assertEquals(p.read(folder), memory(fill));
            }
            remove();
            Files.createDirectory(folder);
        }
    }

    @Test
    public void whatThisProgramFoundsTheLastOneReadsAndWrites() throws Exception {
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(1));
        }
        assertEquals(Predecessor.WITH_COLUMN.read(folder), memory(1));
        Predecessor.WITH_COLUMN.write(folder, memory(2));
        try (StateStore l = StateStore.open(folder)) {
            assertEquals(l.read().memory(), memory(2));
        }
    }

    // The last program turned format 0 into 1 by these statements; it may do so after this one.
    @Test
    public void theUpgradeByTheLastProgramIsReadAfterThisOne() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, memory(1));
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(2));
        }
        execute("ALTER TABLE office ADD COLUMN crc INTEGER");
        execute("UPDATE office SET crc = " + checksum(memory(2)));
        Predecessor.WITH_COLUMN.write(folder, memory(3));
        try (StateStore l = StateStore.open(folder)) {
            assertEquals(l.read().memory(), memory(3));
            l.write(ID, memory(4));
        }
        assertEquals(Predecessor.WITH_COLUMN.read(folder), memory(4));
    }

    @Test
    public void columnsAndTablesOfALaterProgramKeepWhatTheyHold() throws Exception {
        for (Predecessor p : Predecessor.values()) {
            p.write(folder, memory(1));
            execute("ALTER TABLE office ADD COLUMN later TEXT DEFAULT 'kept'");
            execute("CREATE TABLE later (x)");
            try (StateStore l = StateStore.open(folder)) {
                assertEquals(l.read().memory(), memory(1));
                l.write(ID, memory(2));
                assertEquals(l.read().memory(), memory(2));
            }
            try (Connection c = connect(folder);
                    Statement s = c.createStatement();
                    ResultSet r = s.executeQuery("SELECT later FROM office")) {
                assertEquals(r.getString(1), "kept");
            }
            remove();
            Files.createDirectory(folder);
        }
    }

    // Found after this program opened it: from then on its own writes are guarded, in every format.
    @Test
    public void aDamagedMemoryIsRefusedInTheOldFormatToo() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, memory(1));
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(9));
        }
        Path file = folder.resolve("office.db");
        byte[] all = Files.readAllBytes(file);
        int at = 0;
        while (!Arrays.equals(all, at, at + 100, memory(9), 0, 100)) {
            at++;
        }
        all[at + 50] ^= 4;
        Files.write(file, all);
        assertTrue(refused().contains("the state store's entry is damaged"));
    }

    @Test
    public void aChecksumThatIsGoneIsDamage() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, memory(1));
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(2));
        }
        execute("DELETE FROM checksum");
        assertTrue(refused().contains("the state store's entry is damaged"));
    }

    // Neither the new memory nor its checksum alone may stay.
    @Test
    public void aWriteThatIsRefusedLeavesTheOldFormatWhole() throws Exception {
        Predecessor.WITHOUT_CHECKSUM.write(folder, memory(1));
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(2));
        }
        // Stands for a disk that is full for a while: an error that is no broken constraint.
        execute("CREATE TRIGGER refuse BEFORE UPDATE OF crc ON checksum WHEN new.crc IS NOT NULL"
                + " AND (SELECT id FROM office) = 'full' BEGIN SELECT abs(-9223372036854775807 - 1); END");
        try (StateStore l = StateStore.open(folder)) {
            expectThrows(StateStoreException.class, () -> l.write("full", memory(3)));
            assertEquals(l.read().memory(), memory(2));
            l.write(ID, memory(4));
            assertEquals(l.read().memory(), memory(4));
        }
    }

    @Test
    public void aLaterFormatIsRefusedByItsNumberAndLeftAsItWas() throws Exception {
        try (StateStore l = StateStore.open(folder)) {
            l.write(ID, memory(1));
        }
        execute("PRAGMA user_version=7");
        List<Path> before;
        try (Stream<Path> list = Files.list(folder)) {
            before = list.toList();
        }
        byte[] file = Files.readAllBytes(folder.resolve("office.db"));
        assertTrue(refused().contains("its format is 7, this program knows 0 to 1"), refused());
        assertEquals(Files.readAllBytes(folder.resolve("office.db")), file);
        try (Stream<Path> list = Files.list(folder)) {
            assertEquals(list.toList(), before);
        }
    }
}
