package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import whinlead.mesh.duty.DutyPromise;

/**
 * Persists this control node's last vote for the grantor of keys. A file of two lines, epoch and holder, replaced as a
 * whole; synced when {@link #write} returns. One thread; a call may wait for the disk.
 */
public final class DutyStore {
    private static final String FILE = "duty";
    private static final String NEW_FILE = "duty.new";

    private final Path folder;
    private final Syncer syncer;

    /** The store in this folder, which must exist. */
    public DutyStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, which uses this syncer. */
    public DutyStore(Path folder, Syncer syncer) {
        this.folder = folder;
        this.syncer = syncer;
    }

    /**
     * The last written promise; {@link DutyPromise#NONE} if none was written.
     *
     * @throws IOException if the file can't be read or parsed
     */
    public DutyPromise read() throws IOException {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return DutyPromise.NONE;
        }
        // An earlier process may have been killed before its sync; sync before anything depends on what is read.
        syncer.syncFile(file);
        syncer.syncFolder(folder);
        List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
        try {
            return new DutyPromise(Long.parseLong(lines.get(0)), lines.get(1));
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
        Path newFile = folder.resolve(NEW_FILE);
        Files.write(newFile, List.of(Long.toString(promise.epoch()), promise.holder()), StandardCharsets.UTF_8);
        syncer.syncFile(newFile);
        Files.move(newFile, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncer.syncFolder(folder);
    }
}
