package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import whinlead.mesh.duty.DutyPromise;

/**
 * Persists this control node's last vote for the grantor of keys. A file of two lines, epoch and holder, replaced as a
 * whole; synced when {@link #write} returns. One thread; a call may wait for the disk.
 */
public final class DutyStore {
    private static final String FILE = "duty";

    private final SyncedFile file;

    /** The store in this folder, which must exist. */
    public DutyStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, which uses this syncer. */
    public DutyStore(Path folder, Syncer syncer) {
        this.file = new SyncedFile(folder, FILE, syncer);
    }

    /**
     * The last written promise; {@link DutyPromise#NONE} if none was written.
     *
     * @throws IOException if the file can't be read or parsed
     */
    public DutyPromise read() throws IOException {
        Optional<List<String>> lines = file.read();
        if (lines.isEmpty()) {
            return DutyPromise.NONE;
        }
        try {
            return new DutyPromise(
                    Long.parseLong(lines.get().get(0)), lines.get().get(1));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException(file + " is damaged", e);
        }
    }

    /**
     * Replaces the promise.
     *
     * @throws IOException if it may not survive a loss of power
     */
    public void write(DutyPromise promise) throws IOException {
        file.write(List.of(Long.toString(promise.epoch()), promise.holder()));
    }
}
