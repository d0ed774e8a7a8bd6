package whinlead.mesh.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Which sidecars may hold leases from this control node, on its disk: a process that starts waits for what they hold. A
 * file of one name a line, replaced as a whole; synced when {@link #write} returns. One thread; a call may wait for the
 * disk.
 */
public final class LesseeStore {
    private static final String FILE = "lessees";
    private static final String NEW_FILE = "lessees.new";
    /** A first line that no sidecar's name begins with: the process that wrote it had started lately. */
    private static final String RESERVE_MARK = "#reserve";

    /**
     * What is on disk.
     *
     * @param lessees sidecars that may hold leases
     * @param reserveInUse whether the process that wrote it may lately have given out tokens of the reserve
     */
    public record Entry(Set<String> lessees, boolean reserveInUse) {
        /** Copies the set. */
        public Entry {
            lessees = Set.copyOf(lessees);
        }
    }

    private final Path folder;
    private final Syncer syncer;

    /** The store in this folder, which must be there. */
    public LesseeStore(Path folder) {
        this(folder, Syncer.DISK);
    }

    /** The store in this folder, with these syncs. */
    public LesseeStore(Path folder, Syncer syncer) {
        this.folder = folder;
        this.syncer = syncer;
    }

    /**
     * What was written last; an empty entry if nothing ever was.
     *
     * @throws IOException if the file can't be read
     */
    public Entry read() throws IOException {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return new Entry(Set.of(), false);
        }
        // What an earlier process wrote lasts before anything follows from it.
        syncer.file(file);
        syncer.folder(folder);
        Set<String> names = new LinkedHashSet<>(Files.readAllLines(file, StandardCharsets.UTF_8));
        names.remove("");
        boolean reserveInUse = names.remove(RESERVE_MARK);
        return new Entry(names, reserveInUse);
    }

    /**
     * Replaces what was written before.
     *
     * @throws IOException if it may not last
     */
    public void write(Entry entry) throws IOException {
        List<String> lines = new ArrayList<>();
        if (entry.reserveInUse()) {
            lines.add(RESERVE_MARK);
        }
        lines.addAll(entry.lessees());
        Path fresh = folder.resolve(NEW_FILE);
        Files.write(fresh, lines, StandardCharsets.UTF_8);
        syncer.file(fresh);
        Files.move(fresh, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncer.folder(folder);
    }
}
