package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Persists which sidecars may hold leases from this control node: a process that starts waits until these leases have
 * ended. A file with one name per line, replaced as a whole; synced when {@link #write} returns. One thread; a call may
 * wait for the disk.
 */
public final class LesseeStore {
    private static final String FILE = "lessees";
    /** A first line, distinct from all sidecar names: the reserve may recently have been in use. */
    private static final String RESERVE_MARK = "#reserve";

    /**
     * The persistent entry.
     *
     * @param lessees sidecars that may hold leases
     * @param reserveInUse whether the process that wrote it may recently have granted tokens from the reserve
     */
    public record Entry(Set<String> lessees, boolean reserveInUse) {
        /** Copies the set. */
        public Entry {
            lessees = Set.copyOf(lessees);
        }
    }

    private final SyncedFile file;

    /** The store in this folder, which must exist. */
    public LesseeStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, which uses this syncer. */
    public LesseeStore(Path folder, Syncer syncer) {
        this.file = new SyncedFile(folder, FILE, syncer);
    }

    /**
     * The last written entry; an empty one if none was written.
     *
     * @throws IOException if the file can't be read
     */
    public Entry read() throws IOException {
        Optional<List<String>> lines = file.read();
        if (lines.isEmpty()) {
            return new Entry(Set.of(), false);
        }
        Set<String> names = new LinkedHashSet<>(lines.get());
        names.remove("");
        boolean reserveInUse = names.remove(RESERVE_MARK);
        return new Entry(names, reserveInUse);
    }

    /**
     * Replaces the entry.
     *
     * @throws IOException if it may not survive a loss of power
     */
    public void write(Entry entry) throws IOException {
        List<String> lines = new ArrayList<>();
        if (entry.reserveInUse()) {
            lines.add(RESERVE_MARK);
        }
        lines.addAll(entry.lessees());
        file.write(lines);
    }
}
