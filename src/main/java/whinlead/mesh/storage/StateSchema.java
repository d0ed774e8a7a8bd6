package whinlead.mesh.storage;

import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.zip.CRC32C;

/**
 * The layouts of the state store's file, identified by SQLite's {@code user_version}. Each format is read and written
 * exactly as the version that introduced it does; a file is never changed in a way that prevents the previous version
 * of this program from writing it. So a fleet may run several versions, and each can be rolled back.
 */
enum StateSchema {
    /**
     * Format 0, of versions without checksums. The checksum is in a separate table that these versions don't know.
     * Triggers clear it when they write, so that their rows can be distinguished from damaged ones.
     */
    SEPARATE_CHECKSUM(0) {
        @Override
        void prepare(Connection connection, Statement statement) throws SQLException {
            // Only once: a checksum that is missing later is a sign of damage.
            if (hasTable(statement, "checksum")) {
                return;
            }
            statement.execute("BEGIN");
            statement.execute("CREATE TABLE checksum (one INTEGER PRIMARY KEY CHECK (one = 1), crc INTEGER)");
            statement.execute("INSERT INTO checksum VALUES (1, NULL)");
            for (String cause : new String[] {"INSERT", "UPDATE"}) {
                statement.execute("CREATE TRIGGER checksum_cleared_by_" + cause + " AFTER " + cause
                        + " ON office BEGIN UPDATE checksum SET crc = NULL; END");
            }
            statement.execute("COMMIT");
        }

        @Override
        Stored read(Connection connection) throws SQLException {
            return readRow(
                    connection,
                    "SELECT office.one, office.id, office.memory, checksum.crc,"
                            + " checksum.one IS NOT NULL AND checksum.crc IS NULL"
                            + " FROM office LEFT JOIN checksum LIMIT 2");
        }

        @Override
        void write(Connection connection, StateStore.Entry entry) throws SQLException {
            connection.setAutoCommit(false);
            try {
                // Lists the columns, so that columns added by a later version keep their values.
                execute(
                        connection,
                        "INSERT INTO office (one, id, memory) VALUES (1, ?, ?) ON CONFLICT (one) DO UPDATE"
                                + " SET id = excluded.id, memory = excluded.memory",
                        entry.id(),
                        entry.state());
                execute(connection, "UPDATE checksum SET crc = ?", checksum(entry));
                connection.commit();
            } catch (SQLException e) {
                connection.rollback();
                throw e;
            } finally {
                connection.setAutoCommit(true);
            }
        }
    },

    /** Format 1: the checksum is a column. New stores use this format. */
    CHECKSUM_COLUMN(1) {
        @Override
        void prepare(Connection connection, Statement statement) {}

        @Override
        Stored read(Connection connection) throws SQLException {
            return readRow(connection, "SELECT one, id, memory, crc, 0 FROM office LIMIT 2");
        }

        @Override
        void write(Connection connection, StateStore.Entry entry) throws SQLException {
            execute(
                    connection,
                    "INSERT INTO office (one, id, memory, crc) VALUES (1, ?, ?, ?) ON CONFLICT (one)"
                            + " DO UPDATE SET id = excluded.id, memory = excluded.memory, crc = excluded.crc",
                    entry.id(),
                    entry.state(),
                    checksum(entry));
        }
    };

    /** A row that was read: its checksum matches, or it was written by a version without checksums, or neither. */
    record Stored(StateStore.Entry entry, boolean checksumMatches, boolean withoutChecksum) {}

    /** The newest format that this program knows. */
    static final StateSchema NEWEST = CHECKSUM_COLUMN;

    private final int format;

    StateSchema(int format) {
        this.format = format;
    }

    /** The schema of this format, or null if it is unknown. */
    static StateSchema forFormat(long format) {
        for (StateSchema schema : values()) {
            if (schema.format == format) {
                return schema;
            }
        }
        return null;
    }

    /** Creates the tables of a new state store in one transaction. */
    static void create(Statement statement) throws SQLException {
        statement.execute("BEGIN");
        statement.execute("CREATE TABLE office (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL,"
                + " memory BLOB NOT NULL, crc INTEGER)");
        statement.execute("PRAGMA user_version=" + NEWEST.format);
        statement.execute("COMMIT");
    }

    /** The number stored in the file. */
    int format() {
        return format;
    }

    /** Adds the tables and triggers that this program needs beyond those of the format's own version. */
    abstract void prepare(Connection connection, Statement statement) throws SQLException;

    /** The row, or null if there is none. */
    abstract Stored read(Connection connection) throws SQLException;

    /** Replaces the row; it is on disk when this returns. */
    abstract void write(Connection connection, StateStore.Entry entry) throws SQLException;

    private static boolean hasTable(Statement statement, String name) throws SQLException {
        try (ResultSet rows =
                statement.executeQuery("SELECT 1 FROM sqlite_schema WHERE type = 'table' AND name = '" + name + "'")) {
            return rows.next();
        }
    }

    private static Stored readRow(Connection connection, String query) throws SQLException {
        try (Statement statement = connection.createStatement();
                ResultSet row = statement.executeQuery(query)) {
            if (!row.next()) {
                return null;
            }
            StateStore.Entry entry = new StateStore.Entry(row.getString(2), row.getBytes(3));
            boolean isComplete = row.getLong(1) == 1 && entry.id() != null && entry.state() != null;
            boolean lacksChecksum = isComplete && row.getBoolean(5);
            boolean matches = isComplete && row.getString(4) != null && row.getLong(4) == checksum(entry);
            boolean isOnlyRow = !row.next();
            return new Stored(entry, matches && isOnlyRow, lacksChecksum && isOnlyRow);
        }
    }

    // Prepared anew each time: after a statement has failed on a full disk, the driver can't execute it again.
    private static void execute(Connection connection, String statement, Object... values) throws SQLException {
        try (PreparedStatement prepared = connection.prepareStatement(statement)) {
            for (int i = 0; i < values.length; i++) {
                prepared.setObject(i + 1, values[i]);
            }
            prepared.executeUpdate();
        }
    }

    private static long checksum(StateStore.Entry entry) {
        CRC32C crc = new CRC32C();
        crc.update(entry.id().getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(entry.state());
        return crc.getValue();
    }
}
