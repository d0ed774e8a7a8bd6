package whinlead.mesh.storage;

import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.zip.CRC32C;

/**
 * How the state store's file is laid out: its format, told by SQLite's {@code user_version}. Each format is read and
 * written as the program that made it does; a file is never changed so that this program's predecessor can't write it.
 * So a fleet may hold several versions, and any of them may be set back.
 */
enum StateSchema {
    /**
     * Format 0, of programs without checksums. The checksum stands in a table of its own, which these programs don't
     * know. Triggers clear it when they write, so that their rows are told from damaged ones.
     */
    SEPARATE_CHECKSUM(0) {
        @Override
        void prepare(Connection c, Statement s) throws SQLException {
            // Only once: a checksum that is missing later on is a sign of damage.
            if (hasTable(s, "checksum")) {
                return;
            }
            s.execute("BEGIN");
            s.execute("CREATE TABLE checksum (one INTEGER PRIMARY KEY CHECK (one = 1), crc INTEGER)");
            s.execute("INSERT INTO checksum VALUES (1, NULL)");
            for (String cause : new String[] {"INSERT", "UPDATE"}) {
                s.execute("CREATE TRIGGER checksum_cleared_by_" + cause + " AFTER " + cause
                        + " ON office BEGIN UPDATE checksum SET crc = NULL; END");
            }
            s.execute("COMMIT");
        }

        @Override
        Stored read(Connection c) throws SQLException {
            return row(
                    c,
                    "SELECT office.one, office.id, office.memory, checksum.crc,"
                            + " checksum.one IS NOT NULL AND checksum.crc IS NULL"
                            + " FROM office LEFT JOIN checksum LIMIT 2");
        }

        @Override
        void write(Connection c, StateStore.Entry entry) throws SQLException {
            c.setAutoCommit(false);
            try {
                // Column by column: columns that a later program has added keep what they hold.
                execute(
                        c,
                        "INSERT INTO office (one, id, memory) VALUES (1, ?, ?) ON CONFLICT (one) DO UPDATE"
                                + " SET id = excluded.id, memory = excluded.memory",
                        entry.id(),
                        entry.memory());
                execute(c, "UPDATE checksum SET crc = ?", checksum(entry));
                c.commit();
            } catch (SQLException e) {
                c.rollback();
                throw e;
            } finally {
                c.setAutoCommit(true);
            }
        }
    },

    /** Format 1: the checksum is a column. What this program founds. */
    CHECKSUM_COLUMN(1) {
        @Override
        void prepare(Connection c, Statement s) {}

        @Override
        Stored read(Connection c) throws SQLException {
            return row(c, "SELECT one, id, memory, crc, 0 FROM office LIMIT 2");
        }

        @Override
        void write(Connection c, StateStore.Entry entry) throws SQLException {
            execute(
                    c,
                    "INSERT INTO office (one, id, memory, crc) VALUES (1, ?, ?, ?) ON CONFLICT (one)"
                            + " DO UPDATE SET id = excluded.id, memory = excluded.memory, crc = excluded.crc",
                    entry.id(),
                    entry.memory(),
                    checksum(entry));
        }
    };

    /** A row as it stands: whole by its checksum, or of a program that wrote none, or neither. */
    record Stored(StateStore.Entry entry, boolean whole, boolean withoutChecksum) {}

    /** The newest format that this program knows. */
    static final StateSchema NEWEST = CHECKSUM_COLUMN;

    private final int format;

    StateSchema(int format) {
        this.format = format;
    }

    /** The layout of this format, or null if this program knows none. */
    static StateSchema of(long format) {
        for (StateSchema layout : values()) {
            if (layout.format == format) {
                return layout;
            }
        }
        return null;
    }

    /** Makes the tables of a new state store, in one transaction. */
    static void found(Statement s) throws SQLException {
        s.execute("BEGIN");
        s.execute("CREATE TABLE office (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL,"
                + " memory BLOB NOT NULL, crc INTEGER)");
        s.execute("PRAGMA user_version=" + NEWEST.format);
        s.execute("COMMIT");
    }

    /** The number that stands in the file. */
    int format() {
        return format;
    }

    /** Adds what this program needs beside what its predecessors know. */
    abstract void prepare(Connection c, Statement s) throws SQLException;

    /** The row, or null if there is none. */
    abstract Stored read(Connection c) throws SQLException;

    /** Replaces the row; it is on disk when this returns. */
    abstract void write(Connection c, StateStore.Entry entry) throws SQLException;

    private static boolean hasTable(Statement s, String name) throws SQLException {
        try (ResultSet r =
                s.executeQuery("SELECT 1 FROM sqlite_schema WHERE type = 'table' AND name = '" + name + "'")) {
            return r.next();
        }
    }

    private static Stored row(Connection c, String query) throws SQLException {
        try (Statement s = c.createStatement();
                ResultSet r = s.executeQuery(query)) {
            if (!r.next()) {
                return null;
            }
            StateStore.Entry entry = new StateStore.Entry(r.getString(2), r.getBytes(3));
            boolean complete = r.getLong(1) == 1 && entry.id() != null && entry.memory() != null;
            boolean without = complete && r.getBoolean(5);
            boolean matches = complete && r.getString(4) != null && r.getLong(4) == checksum(entry);
            boolean alone = !r.next();
            return new Stored(entry, matches && alone, without && alone);
        }
    }

    // Made anew each time: the driver ends a statement that a full disk refused once, for good.
    private static void execute(Connection c, String statement, Object... values) throws SQLException {
        try (PreparedStatement p = c.prepareStatement(statement)) {
            for (int i = 0; i < values.length; i++) {
                p.setObject(i + 1, values[i]);
            }
            p.executeUpdate();
        }
    }

    private static long checksum(StateStore.Entry entry) {
        CRC32C crc = new CRC32C();
        crc.update(entry.id().getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(entry.memory());
        return crc.getValue();
    }
}
