package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The state store's own syncs, besides those of SQLite. A seam, so that a rehearsal knows which were asked for. On the
 * thread that opens the state store; a call may wait for the disk.
 */
public interface Syncer {
    /** Syncs for good. */
    Syncer DISK = new Syncer() {
        @Override
        public void file(Path file) throws IOException {
            force(file, StandardOpenOption.WRITE);
        }

        @Override
        public void folder(Path folder) throws IOException {
            force(folder, StandardOpenOption.READ);
        }

        private void force(Path path, StandardOpenOption how) throws IOException {
            try (FileChannel c = FileChannel.open(path, how)) {
                c.force(true);
            }
        }
    };

    /**
     * What was written to this file, by whatever process, lasts when this returns.
     *
     * @throws IOException if it may not
     */
    void file(Path file) throws IOException;

    /**
     * The names made and removed in this folder last, or are gone for good, when this returns.
     *
     * @throws IOException if they may not be
     */
    void folder(Path folder) throws IOException;
}
