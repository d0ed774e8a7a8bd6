package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import whinlead.mesh.storage.StateStore;
import whinlead.mesh.storage.StateStoreException;

/**
 * The real state store on a modelled disk. It writes to a real folder; images of the files before and after each step
 * are made into what a loss of power in that step may leave, and the real state store is opened on that. The order of
 * SQLite's writes and syncs within a step is assumed, as {@link CutDisk} has it. Checks that it gives the memory whose
 * write had returned, or the one that was being written; that what it gave once it gives again; and that what is
 * damaged is refused. The same seed plays the same, but for the salts that SQLite draws. One thread; it waits for the
 * real disk.
 */
public final class LedgerPlay {
    /** A fault that is planted, to see that it is found. */
    public enum Bug {
        /** None. */
        NONE,
        /** No sync of a file has an effect, as with {@code synchronous=OFF}. */
        SYNCS_IGNORED,
        /** No sync of a folder has an effect. */
        FOLDER_SYNCS_IGNORED,
        /** A memory counts as said when its write begins. */
        SAID_BEFORE_SYNC,
        /** The log that a killed process left is read without a sync. */
        KILLED_LOG_NOT_SYNCED
    }

    /** What a schedule broke, and what it counted. */
    public record Outcome(List<String> broken, Map<String, Long> figures) {}

    private static final String ID = "10.0.0.1#0";
    private static final int LIVES = 3;
    private static final int WRITES = 9;
    private static final int VARIANTS = 2;
    private static final int LARGE = 300_000;
    private static final int SMALL = 3000;

    private final SplittableRandom random;
    private final Bug bug;
    private final CutDisk disk;
    private final Path base;
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    /** What the last write that returned held, or what was read since; null in a new state store. */
    private byte[] said;
    /** What is being written, or null. */
    private byte[] writing;

    private boolean killed;
    private int folders;
    private int most;

    private LedgerPlay(long seed, Bug bug, Path base) {
        random = new SplittableRandom(seed);
        this.bug = bug;
        this.base = base;
        disk = new CutDisk(random, bug);
    }

    /** Plays the schedule of this seed. */
    public static Outcome play(long seed, Bug bug) {
        try {
            Path base = Files.createTempDirectory("state store");
            try {
                return new LedgerPlay(seed, bug, base).run();
            } finally {
                CutDisk.remove(base);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the real disk failed", e);
        }
    }

    private Outcome run() throws IOException {
        most = random.nextInt(4) == 0 ? LARGE : SMALL;
        for (int life = 0; life < LIVES && broken.isEmpty(); life++) {
            try {
                live();
            } catch (StateStoreException e) {
                broken.add("life " + life + ": " + e.getMessage());
            }
        }
        return new Outcome(List.copyOf(broken), Map.copyOf(figures));
    }

    private void count(String what) {
        figures.merge(what, 1L, Long::sum);
    }

    private byte[] memory() {
        byte[] m = new byte[8 + random.nextInt(most)];
        random.nextBytes(m);
        return m;
    }

    // From an opening of what the last life left to its own end.
    private void live() throws IOException, StateStoreException {
        Path folder = Files.createDirectory(base.resolve("life-" + ++folders));
        disk.store(folder);
        disk.begin();
        try (StateStore stateStore = StateStore.open(folder, disk)) {
            check(stateStore.read(), "opened");
            disk.opened(folder);
            count("lives");
            // A killed process left what no sync has covered: that the power goes soon is played more often.
            int end = killed && random.nextBoolean() ? -2 : random.nextInt(WRITES) - 2;
            killed = false;
            if (end < 0) {
                end(end == -1 ? "power while opening" : "power after opening");
                return;
            }
            for (int i = 0; i <= end; i++) {
                boolean last = i == end;
                writing = memory();
                if (last) {
                    disk.before(folder);
                }
                stateStore.write(ID, writing);
                count("writes");
                if (last) {
                    disk.after(folder);
                    endOfWriting(folder, stateStore);
                    return;
                }
                said = writing;
                writing = null;
                disk.written();
            }
        } finally {
            CutDisk.remove(folder);
        }
    }

    private void endOfWriting(Path folder, StateStore stateStore) throws IOException, StateStoreException {
        int how = random.nextInt(10);
        if (bug == Bug.SAID_BEFORE_SYNC) {
            said = writing;
        }
        if (how < 6) {
            end("power while writing");
        } else if (how < 8) {
            disk.killWriting();
            count("kills");
            killed = true;
            // What the killed process had reached is what the next one reads: either.
            said = peek();
            writing = null;
        } else {
            said = writing;
            writing = null;
            disk.written();
            disk.before(folder);
            stateStore.close();
            disk.after(folder);
            if (how == 8) {
                end("power while closing");
            } else {
                disk.closed();
                count("closed");
                rot();
            }
        }
    }

    // States that a loss of power here may leave: some are looked at, and the next life begins with the last.
    private void end(String how) throws IOException, StateStoreException {
        count(how);
        for (int i = 0; i < VARIANTS; i++) {
            Map<String, byte[]> state = disk.cut(how);
            count("phase " + disk.phase());
            Path folder = Files.createDirectory(base.resolve("state-" + ++folders));
            CutDisk.store(state, folder);
            byte[] found;
            try (StateStore stateStore = StateStore.open(folder)) {
                found = check(stateStore.read(), how + ", " + disk.phase());
                writable(stateStore, how);
            } finally {
                CutDisk.remove(folder);
            }
            count("states");
            if (i == VARIANTS - 1) {
                disk.settle(state);
                said = found;
                writing = null;
            }
        }
    }

    // At times: each write waits for the real disk.
    private void writable(StateStore stateStore, String how) throws StateStoreException {
        if (random.nextInt(4) == 0) {
            byte[] next = memory();
            stateStore.write(ID, next);
            if (!Arrays.equals(stateStore.read().memory(), next)) {
                broken.add(how + ", " + disk.phase() + ": what is written isn't read");
            }
        }
    }

    private byte[] check(StateStore.Entry entry, String when) {
        byte[] found = entry == null ? null : entry.memory();
        boolean old = Arrays.equals(found, said);
        boolean fresh = writing != null && Arrays.equals(found, writing);
        if (!old && !fresh || old && disk.mustBeNew() && writing != null) {
            String what = found == null ? "nothing" : old ? "the memory before" : "another memory";
            broken.add(when + ": " + what + " was read");
        }
        if (writing != null && fresh) {
            count("read the new");
        }
        return found;
    }

    // What a new process reads of the files as they are, looked at in a copy.
    private byte[] peek() throws IOException, StateStoreException {
        Path folder = Files.createDirectory(base.resolve("peek-" + ++folders));
        CutDisk.store(disk.files(), folder);
        try (StateStore stateStore = StateStore.open(folder)) {
            return check(stateStore.read(), "killed");
        } finally {
            CutDisk.remove(folder);
        }
    }

    // A byte or a sector of the closed file goes bad: refused, or read right.
    private void rot() throws IOException {
        Path folder = Files.createDirectory(base.resolve("rot-" + ++folders));
        CutDisk.store(disk.rotten(), folder);
        count("rot");
        try (StateStore stateStore = StateStore.open(folder)) {
            StateStore.Entry entry = stateStore.read();
            if (entry == null || !Arrays.equals(entry.memory(), said)) {
                broken.add("damaged: " + (entry == null ? "nothing" : "another memory") + " was read");
            }
        } catch (StateStoreException e) {
            count("rot refused");
        } finally {
            CutDisk.remove(folder);
        }
    }
}
