package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The state store's own syncs, besides those of SQLite. An interface, so that simulations can record which syncs were
 * requested. On the thread that opens the state store; a call may wait for the disk.
 */
public interface Syncer {
    /** Syncs to the physical disk. */
    Syncer DISK = new Syncer() {
        @Override
        public void syncFile(Path file) throws IOException {
            force(file, StandardOpenOption.WRITE);
        }

        @Override
        public void syncFolder(Path folder) throws IOException {
            force(folder, StandardOpenOption.READ);
        }

        private void force(Path path, StandardOpenOption option) throws IOException {
            try (FileChannel channel = FileChannel.open(path, option)) {
                channel.force(true);
            }
        }
    };

    /**
     * Makes the contents of a file durable, whichever process wrote them.
     *
     * @throws IOException if they may not be durable
     */
    void syncFile(Path file) throws IOException;

    /**
     * Makes the creations and removals of names in a folder durable.
     *
     * @throws IOException if they may not be durable
     */
    void syncFolder(Path folder) throws IOException;
}
