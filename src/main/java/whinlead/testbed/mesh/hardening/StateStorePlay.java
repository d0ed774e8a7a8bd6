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
 * Tests the real state store on a modelled disk. The store writes to a real folder; from images of the files before and
 * after each step a state that a loss of power may leave is derived, and the real store is opened on it. The order of
 * SQLite's writes and syncs within a step is assumed, see {@link CutDisk}. Checks that the store returns the state
 * whose write had returned or the one being written, that it returns it again later, and that damaged files are
 * refused. Deterministic for a seed, except for the salts that SQLite draws. Single-threaded; waits for the real disk.
 */
public final class StateStorePlay {
    /** A fault planted to verify that it is detected. */
    public enum Bug {
        /** None. */
        NONE,
        /** No sync of a file has an effect, as with {@code synchronous=OFF}. */
        SYNCS_IGNORED,
        /** No sync of a folder has an effect. */
        FOLDER_SYNCS_IGNORED,
        /** A state counts as acknowledged when its write begins. */
        SAID_BEFORE_SYNC,
        /** The log of a killed process is read without a sync. */
        KILLED_LOG_NOT_SYNCED
    }

    /** The violations and counts of a schedule. */
    public record Outcome(List<String> broken, Map<String, Long> figures) {}

    private static final String ID = "10.0.0.1#0";
    private static final int INCARNATIONS = 3;
    private static final int WRITES = 9;
    private static final int VARIANTS = 2;
    private static final int LARGE_BYTES = 300_000;
    private static final int SMALL_BYTES = 3000;

    private final SplittableRandom random;
    private final Bug bug;
    private final CutDisk disk;
    private final Path baseFolder;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    /** The content of the last write that returned, or what was read since; null in a new state store. */
    private byte[] acknowledged;
    /** What is being written, or null. */
    private byte[] writing;

    private boolean killed;
    private int folders;
    private int maxBytes;

    private StateStorePlay(long seed, Bug bug, Path base) {
        random = new SplittableRandom(seed);
        this.bug = bug;
        this.baseFolder = base;
        disk = new CutDisk(random, bug);
    }

    /** Plays the schedule of a seed. */
    public static Outcome play(long seed, Bug bug) {
        try {
            Path base = Files.createTempDirectory("state store");
            try {
                return new StateStorePlay(seed, bug, base).run();
            } finally {
                CutDisk.remove(base);
            }
        } catch (IOException e) {
            throw new IllegalStateException("the real disk failed", e);
        }
    }

    private Outcome run() throws IOException {
        maxBytes = random.nextInt(4) == 0 ? LARGE_BYTES : SMALL_BYTES;
        for (int life = 0; life < INCARNATIONS && violations.isEmpty(); life++) {
            try {
                runIncarnation();
            } catch (StateStoreException e) {
                violations.add("life " + life + ": " + e.getMessage());
            }
        }
        return new Outcome(List.copyOf(violations), Map.copyOf(figures));
    }

    private void count(String what) {
        figures.merge(what, 1L, Long::sum);
    }

    private byte[] randomMemory() {
        byte[] m = new byte[8 + random.nextInt(maxBytes)];
        random.nextBytes(m);
        return m;
    }

    // Opens the files of the last process and runs until this process ends.
    private void runIncarnation() throws IOException, StateStoreException {
        Path folder = Files.createDirectory(baseFolder.resolve("life-" + ++folders));
        disk.store(folder);
        disk.opening();
        try (StateStore stateStore = StateStore.open(folder, disk)) {
            check(stateStore.read(), "opened");
            disk.opened(folder);
            count("lives");
            // A killed process leaves unsynced files, so a loss of power soon after is played more often.
            int end = killed && random.nextBoolean() ? -2 : random.nextInt(WRITES) - 2;
            killed = false;
            if (end < 0) {
                checkPowerLoss(end == -1 ? "power while opening" : "power after opening");
                return;
            }
            for (int i = 0; i <= end; i++) {
                boolean last = i == end;
                writing = randomMemory();
                if (last) {
                    disk.stepBegan(folder);
                }
                stateStore.write(ID, writing);
                count("writes");
                if (last) {
                    disk.stepReturned(folder);
                    endOfWriting(folder, stateStore);
                    return;
                }
                acknowledged = writing;
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
            acknowledged = writing;
        }
        if (how < 6) {
            checkPowerLoss("power while writing");
        } else if (how < 8) {
            disk.killWriting();
            count("kills");
            killed = true;
            // The next process may read the old or the new state.
            acknowledged = readCopy();
            writing = null;
        } else {
            acknowledged = writing;
            writing = null;
            disk.written();
            disk.stepBegan(folder);
            stateStore.close();
            disk.stepReturned(folder);
            if (how == 8) {
                checkPowerLoss("power while closing");
            } else {
                disk.closed();
                count("closed");
                checkCorruption();
            }
        }
    }

    // Checks some states that a loss of power may leave here; the next process starts with the last one.
    private void checkPowerLoss(String how) throws IOException, StateStoreException {
        count(how);
        for (int i = 0; i < VARIANTS; i++) {
            Map<String, byte[]> state = disk.powerLoss(how);
            count("phase " + disk.phase());
            Path folder = Files.createDirectory(baseFolder.resolve("state-" + ++folders));
            CutDisk.store(state, folder);
            byte[] found;
            try (StateStore stateStore = StateStore.open(folder)) {
                found = check(stateStore.read(), how + ", " + disk.phase());
                checkWritable(stateStore, how);
            } finally {
                CutDisk.remove(folder);
            }
            count("states");
            if (i == VARIANTS - 1) {
                disk.restart(state);
                acknowledged = found;
                writing = null;
            }
        }
    }

    // Only sometimes, since each write waits for the real disk.
    private void checkWritable(StateStore stateStore, String how) throws StateStoreException {
        if (random.nextInt(4) == 0) {
            byte[] next = randomMemory();
            stateStore.write(ID, next);
            if (!Arrays.equals(stateStore.read().state(), next)) {
                violations.add(how + ", " + disk.phase() + ": a written state is not read back");
            }
        }
    }

    private byte[] check(StateStore.Entry entry, String when) {
        byte[] found = entry == null ? null : entry.state();
        boolean old = Arrays.equals(found, acknowledged);
        boolean fresh = writing != null && Arrays.equals(found, writing);
        if (!old && !fresh || old && disk.mustBeNew() && writing != null) {
            String what = found == null ? "nothing" : old ? "the memory before" : "another memory";
            violations.add(when + ": " + what + " was read");
        }
        if (writing != null && fresh) {
            count("read the new");
        }
        return found;
    }

    // What a new process reads from a copy of the files.
    private byte[] readCopy() throws IOException, StateStoreException {
        Path folder = Files.createDirectory(baseFolder.resolve("peek-" + ++folders));
        CutDisk.store(disk.files(), folder);
        try (StateStore stateStore = StateStore.open(folder)) {
            return check(stateStore.read(), "killed");
        } finally {
            CutDisk.remove(folder);
        }
    }

    // The closed file is corrupted: it must be refused or read correctly.
    private void checkCorruption() throws IOException {
        Path folder = Files.createDirectory(baseFolder.resolve("rot-" + ++folders));
        CutDisk.store(disk.corrupted(), folder);
        count("rot");
        try (StateStore stateStore = StateStore.open(folder)) {
            StateStore.Entry entry = stateStore.read();
            if (entry == null || !Arrays.equals(entry.state(), acknowledged)) {
                violations.add("damaged: " + (entry == null ? "nothing" : "another memory") + " was read");
            }
        } catch (StateStoreException e) {
            count("rot refused");
        } finally {
            CutDisk.remove(folder);
        }
    }
}
