package cobaltrack.post.ledger;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;

/**
 * An office's memory on disk: one row, replaced and synced each time. SQLite in WAL mode with full syncs: a
 * commit is one sync. One thread; a call may wait for the disk.
 */
public final class Ledger implements AutoCloseable {
    private static final String FILE = "office.db";
    /** Pages in the log after which it is folded into the file; keeps it at some hundred kilobytes. */
    private static final int CHECKPOINT_PAGES = 200;

    /** What was found. */
    public record Entry(String id, byte[] memory) { }

    private final Connection connection;

    private Ledger(Connection connection) {
        this.connection = connection;
    }

    /**
     * Opens the ledger in this folder, or founds one.
     *
     * @throws LedgerException if that can't be done, or what is there is damaged
     */
    public static Ledger open(Path folder) throws LedgerException {
        try {
            Files.createDirectories(folder);
            Connection c = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve(FILE));
            try (Statement s = c.createStatement()) {
                // The locking mode first: then the log's index needs no mapped file.
                s.execute("PRAGMA locking_mode=EXCLUSIVE");
                s.execute("PRAGMA journal_mode=WAL");
                s.execute("PRAGMA synchronous=FULL");
                s.execute("PRAGMA wal_autocheckpoint=" + CHECKPOINT_PAGES);
                s.execute("CREATE TABLE IF NOT EXISTS office"
                        + " (one INTEGER PRIMARY KEY CHECK (one = 1), id TEXT NOT NULL, memory BLOB NOT NULL)");
            }
            return new Ledger(c);
        } catch (SQLException | IOException e) {
            throw new LedgerException("the ledger in " + folder + " can't be opened: " + e.getMessage(), e);
        }
    }

    /**
     * What was written last, or null in a new ledger.
     *
     * @throws LedgerException if it can't be read
     */
    public Entry read() throws LedgerException {
        try (Statement s = connection.createStatement();
                ResultSet r = s.executeQuery("SELECT id, memory FROM office")) {
            return r.next() ? new Entry(r.getString(1), r.getBytes(2)) : null;
        } catch (SQLException e) {
            throw new LedgerException("the ledger can't be read: " + e.getMessage(), e);
        }
    }

    /**
     * Writes and syncs; it is on disk when this returns.
     *
     * @throws LedgerException if it may not be
     */
    public void write(String id, byte[] memory) throws LedgerException {
        try (PreparedStatement s = connection.prepareStatement("INSERT INTO office VALUES (1, ?, ?)"
                + " ON CONFLICT (one) DO UPDATE SET id = excluded.id, memory = excluded.memory")) {
            s.setString(1, id);
            s.setBytes(2, memory);
            s.executeUpdate();
        } catch (SQLException e) {
            throw new LedgerException("the ledger can't be written: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws LedgerException {
        try {
            connection.close();
        } catch (SQLException e) {
            throw new LedgerException("the ledger can't be closed: " + e.getMessage(), e);
        }
    }
}
