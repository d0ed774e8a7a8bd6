package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A control node's persistent state: one row, replaced and synced at each write. SQLite in WAL mode with full syncs, so
 * a commit is one sync. One thread; a call may wait for the disk.
 *
 * <p>The result of {@link #read} is durable: a log that an earlier process left unsynced is synced before it is read. A
 * damaged store is rejected and never repaired, because a control node that has forgotten its promises must not vote
 * under its old id.
 */
public final class StateStore implements AutoCloseable {
    private static final String FILE = "office.db";
    private static final String LOG_FILE = FILE + "-wal";
    /** Pages in the log after which it is checkpointed; keeps it at some hundred kilobytes. */
    private static final int CHECKPOINT_PAGES = 200;

    /** The persistent entry: the control node's id and its encoded state. */
    public record Entry(String id, byte[] state) {}

    private final Connection connection;
    private final StateSchema schema;

    private StateStore(Connection connection, StateSchema layout) {
        this.connection = connection;
        this.schema = layout;
    }

    /**
     * Opens the state store in this folder, or creates one.
     *
     * @throws StateStoreException if that fails, or the store is damaged
     */
    public static StateStore open(Path folder) throws StateStoreException {
        return open(folder, Syncer.DISK);
    }

    /**
     * Opens the state store in this folder, or creates one, with this syncer for syncs besides SQLite's own.
     *
     * @throws StateStoreException if that fails, or the store is damaged
     */
    public static StateStore open(Path folder, Syncer syncer) throws StateStoreException {
        Connection connection = null;
        try {
            createFolders(folder, syncer);
            boolean hasLog = size(folder.resolve(LOG_FILE)) > 0;
            if (hasLog && size(folder.resolve(FILE)) == 0) {
                // SQLite would remove the log and create an empty database.
                throw new StateStoreException("the state store in " + folder + " has a log, but no " + FILE
                        + "; remove both to join as a new control node");
            }
            if (hasLog) {
                // A process that was killed may have left writes in the log that were not synced.
                syncer.syncFile(folder.resolve(LOG_FILE));
            }
            connection = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(FILE));
            return new StateStore(connection, prepare(connection, folder, syncer));
        } catch (SQLException | IOException e) {
            close(connection);
            throw new StateStoreException("the state store in " + folder + " can't be opened: " + e.getMessage(), e);
        } catch (StateStoreException e) {
            close(connection);
            throw e;
        }
    }

    private static void close(Connection connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (SQLException e) {
            // The failure that made the connection unusable is reported; nothing was written that could be lost here.
        }
    }

    // A new folder survives a loss of power only after its parent was synced.
    private static void createFolders(Path folder, Syncer syncer) throws IOException {
        Deque<Path> missing = new ArrayDeque<>();
        for (Path path = folder.toAbsolutePath(); path != null && !Files.exists(path); path = path.getParent()) {
            missing.push(path);
        }
        for (Path path : missing) {
            Files.createDirectory(path);
            syncer.syncFolder(path.getParent());
        }
    }

    private static long size(Path file) throws IOException {
        return Files.exists(file) ? Files.size(file) : 0;
    }

    private static StateSchema prepare(Connection connection, Path folder, Syncer syncer)
            throws SQLException, IOException, StateStoreException {
        try (Statement statement = connection.createStatement()) {
            // The locking mode comes first, so that the log's index needs no mapped file. The synchronous mode comes
            // before the switch to the log, so that removed names are synced: a rollback journal that reappears would
            // undo the creation.
            statement.execute("PRAGMA locking_mode=EXCLUSIVE");
            statement.execute("PRAGMA synchronous=EXTRA");
            statement.execute("PRAGMA journal_mode=WAL");
            statement.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
            long format = queryNumber(statement, "PRAGMA user_version");
            if (queryNumber(statement, "SELECT count(*) FROM sqlite_schema") == 0) {
                StateSchema.create(statement);
                syncer.syncFolder(folder);
                return StateSchema.NEWEST;
            }
            StateSchema schema = StateSchema.forFormat(format);
            if (schema == null) {
                throw new StateStoreException("the state store in " + folder + " is damaged, or of a later version: "
                        + "its format is " + format + ", this program knows 0 to " + StateSchema.NEWEST.format()
                        + "; it is left unchanged");
            }
            schema.prepare(connection, statement);
            return schema;
        }
    }

    private static long queryNumber(Statement statement, String query) throws SQLException {
        try (ResultSet rows = statement.executeQuery(query)) {
            return rows.getLong(1);
        }
    }

    /**
     * The last written entry, or null in a new state store. The entry survives any later loss of power.
     *
     * @throws StateStoreException if it can't be read, or is damaged
     */
    public Entry read() throws StateStoreException {
        try {
            StateSchema.Stored stored = schema.read(connection);
            if (stored == null) {
                quickCheck();
                return null;
            }
            if (stored.withoutChecksum()) {
                quickCheck();
                schema.write(connection, stored.entry());
            } else if (!stored.checksumMatches()) {
                throw new StateStoreException(
                        "the state store's entry is damaged; remove it to join as a new control node");
            }
            return stored.entry();
        } catch (SQLException e) {
            throw new StateStoreException("the state store can't be read: " + e.getMessage(), e);
        }
    }

    // Without a checksum, a damaged page may hide a row, or show one as written by a version without checksums.
    private void quickCheck() throws SQLException, StateStoreException {
        try (Statement statement = connection.createStatement();
                ResultSet rows = statement.executeQuery("PRAGMA quick_check")) {
            if (!"ok".equals(rows.getString(1))) {
                throw new StateStoreException("the state store is damaged: " + rows.getString(1)
                        + "; remove it to join as a new control node");
            }
        }
    }

    /**
     * Writes and syncs; the entry is on disk when this returns.
     *
     * @throws StateStoreException if it may not be on disk
     */
    public void write(String id, byte[] state) throws StateStoreException {
        try {
            schema.write(connection, new Entry(id, state));
        } catch (SQLException e) {
            throw new StateStoreException("the state store can't be written: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws StateStoreException {
        try {
            connection.close();
        } catch (SQLException e) {
            throw new StateStoreException("the state store can't be closed: " + e.getMessage(), e);
        }
    }
}
