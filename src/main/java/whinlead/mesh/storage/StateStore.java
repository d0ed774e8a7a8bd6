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
 * A control node's memory on disk: one row, replaced and synced each time. SQLite in WAL mode with full syncs: a commit
 * is one sync. One thread; a call may wait for the disk.
 *
 * <p>What {@link #read} gives lasts: a log that a process left unsynced is synced before it is read. What is damaged is
 * refused, never mended: a control node that has forgotten what it promised must not vote under its old name.
 */
public final class StateStore implements AutoCloseable {
    private static final String FILE = "office.db";
    private static final String LOG = FILE + "-wal";
    /** Pages in the log after which it is folded into the file; keeps it at some hundred kilobytes. */
    private static final int CHECKPOINT_PAGES = 200;

    /** What was found. */
    public record Entry(String id, byte[] memory) {}

    private final Connection connection;
    private final StateSchema layout;

    private StateStore(Connection connection, StateSchema layout) {
        this.connection = connection;
        this.layout = layout;
    }

    /**
     * Opens the state store in this folder, or founds one.
     *
     * @throws StateStoreException if that can't be done, or what is there is damaged
     */
    public static StateStore open(Path folder) throws StateStoreException {
        return open(folder, Syncer.DISK);
    }

    /**
     * Opens the state store in this folder, or founds one, with these syncs besides SQLite's own.
     *
     * @throws StateStoreException if that can't be done, or what is there is damaged
     */
    public static StateStore open(Path folder, Syncer syncer) throws StateStoreException {
        Connection c = null;
        try {
            make(folder, syncer);
            boolean log = size(folder.resolve(LOG)) > 0;
            if (log && size(folder.resolve(FILE)) == 0) {
                // SQLite would remove the log and begin anew.
                throw new StateStoreException("the state store in " + folder + " has a log, but no " + FILE
                        + "; remove both to join as a new control node");
            }
            if (log) {
                // A process that was killed may have left there what no sync has covered.
                syncer.file(folder.resolve(LOG));
            }
            c = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(FILE));
            return new StateStore(c, prepare(c, folder, syncer));
        } catch (SQLException | IOException e) {
            close(c);
            throw new StateStoreException("the state store in " + folder + " can't be opened: " + e.getMessage(), e);
        } catch (StateStoreException e) {
            close(c);
            throw e;
        }
    }

    private static void close(Connection c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (SQLException e) {
            // What made it useless is reported; nothing was written that this could lose.
        }
    }

    // A new folder's name lasts when the folder above it is synced.
    private static void make(Path folder, Syncer syncer) throws IOException {
        Deque<Path> missing = new ArrayDeque<>();
        for (Path p = folder.toAbsolutePath(); p != null && !Files.exists(p); p = p.getParent()) {
            missing.push(p);
        }
        for (Path p : missing) {
            Files.createDirectory(p);
            syncer.folder(p.getParent());
        }
    }

    private static long size(Path file) throws IOException {
        return Files.exists(file) ? Files.size(file) : 0;
    }

    private static StateSchema prepare(Connection c, Path folder, Syncer syncer)
            throws SQLException, IOException, StateStoreException {
        try (Statement s = c.createStatement()) {
            // The locking mode first: then the log's index needs no mapped file. And before the switch to the
            // log that removed names are synced: a journal that comes back would undo the founding.
            s.execute("PRAGMA locking_mode=EXCLUSIVE");
            s.execute("PRAGMA synchronous=EXTRA");
            s.execute("PRAGMA journal_mode=WAL");
            s.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
            long format = number(s, "PRAGMA user_version");
            if (number(s, "SELECT count(*) FROM sqlite_schema") == 0) {
                StateSchema.found(s);
                syncer.folder(folder);
                return StateSchema.NEWEST;
            }
            StateSchema layout = StateSchema.of(format);
            if (layout == null) {
                throw new StateStoreException("the state store in " + folder + " is damaged, or of a later version: "
                        + "its format is " + format + ", this program knows 0 to " + StateSchema.NEWEST.format()
                        + "; it is left as it was");
            }
            layout.prepare(c, s);
            return layout;
        }
    }

    private static long number(Statement s, String query) throws SQLException {
        try (ResultSet r = s.executeQuery(query)) {
            return r.getLong(1);
        }
    }

    /**
     * What was written last, or null in a new state store. It lasts: no loss of power after this takes it.
     *
     * @throws StateStoreException if it can't be read, or is damaged
     */
    public Entry read() throws StateStoreException {
        try {
            StateSchema.Stored stored = layout.read(connection);
            if (stored == null) {
                check();
                return null;
            }
            if (stored.withoutChecksum()) {
                check();
                layout.write(connection, stored.entry());
            } else if (!stored.whole()) {
                throw new StateStoreException(
                        "the state store's entry is damaged; remove it to join as a new control node");
            }
            return stored.entry();
        } catch (SQLException e) {
            throw new StateStoreException("the state store can't be read: " + e.getMessage(), e);
        }
    }

    // Where no checksum tells: a damaged page may hide a row, or hold one of a program without checksums.
    private void check() throws SQLException, StateStoreException {
        try (Statement s = connection.createStatement();
                ResultSet r = s.executeQuery("PRAGMA quick_check")) {
            if (!"ok".equals(r.getString(1))) {
                throw new StateStoreException(
                        "the state store is damaged: " + r.getString(1) + "; remove it to join as a new control node");
            }
        }
    }

    /**
     * Writes and syncs; it is on disk when this returns.
     *
     * @throws StateStoreException if it may not be
     */
    public void write(String id, byte[] memory) throws StateStoreException {
        try {
            layout.write(connection, new Entry(id, memory));
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
