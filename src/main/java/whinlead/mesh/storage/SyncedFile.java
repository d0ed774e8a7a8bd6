package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Optional;

/**
 * A small file of text lines that is replaced as a whole and is durable when {@link #write} returns. One thread; a call
 * may wait for the disk.
 */
final class SyncedFile {
    /** Ending of the file that is written before it replaces the former one. */
    private static final String NEW_SUFFIX = ".new";

    private final Path folder;
    private final String name;
    private final Syncer syncer;

    /** The file of this name in this folder, which must exist. */
    SyncedFile(Path folder, String name, Syncer syncer) {
        this.folder = folder;
        this.name = name;
        this.syncer = syncer;
    }

    /**
     * The lines that were written last; empty if none were ever written.
     *
     * @throws IOException if the file can't be read
     */
    Optional<List<String>> read() throws IOException {
        Path file = folder.resolve(name);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        // An earlier process may have been killed before its sync; sync before anything depends on what is read.
        syncer.syncFile(file);
        syncer.syncFolder(folder);
        return Optional.of(Files.readAllLines(file, StandardCharsets.UTF_8));
    }

    /**
     * Replaces the lines.
     *
     * @throws IOException if they may not survive a loss of power
     */
    void write(List<String> lines) throws IOException {
        Path newFile = folder.resolve(name + NEW_SUFFIX);
        Files.write(newFile, lines, StandardCharsets.UTF_8);
        syncer.syncFile(newFile);
        Files.move(newFile, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncer.syncFolder(folder);
    }

    @Override
    public String toString() {
        return folder.resolve(name).toString();
    }
}
