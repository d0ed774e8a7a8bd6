package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import whinlead.mesh.duty.DutyPromise;

/**
 * For whom this control node voted last as the one that grants keys, on its disk. A file of two lines, epoch and
 * holder, replaced as a whole; synced when {@link #write} returns. One thread; a call may wait for the disk.
 */
public final class DutyStore {
    private static final String FILE = "duty";
    private static final String NEW_FILE = "duty.new";

    private final Path folder;
    private final Syncer syncer;

    /** The store in this folder, which must be there. */
    public DutyStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, with these syncs. */
    public DutyStore(Path folder, Syncer syncer) {
        this.folder = folder;
        this.syncer = syncer;
    }

    /**
     * What was written last; {@link DutyPromise#NONE} if nothing ever was.
     *
     * @throws IOException if the file can't be read, or is none of ours
     */
    public DutyPromise read() throws IOException {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return DutyPromise.NONE;
        }
        // What an earlier process wrote lasts before anything follows from it.
        syncer.file(file);
        syncer.folder(folder);
        List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
        try {
            return new DutyPromise(Long.parseLong(lines.get(0)), lines.get(1));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IOException(file + " is damaged", e);
        }
    }

    /**
     * Replaces what was written before.
     *
     * @throws IOException if it may not last
     */
    public void write(DutyPromise promise) throws IOException {
        Path fresh = folder.resolve(NEW_FILE);
        Files.write(fresh, List.of(Long.toString(promise.epoch()), promise.holder()), StandardCharsets.UTF_8);
        syncer.file(fresh);
        Files.move(fresh, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncer.folder(folder);
    }
}
