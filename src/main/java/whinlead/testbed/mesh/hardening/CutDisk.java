package whinlead.testbed.mesh.hardening;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import whinlead.mesh.storage.Syncer;

/**
 * Models what a loss of power may leave of a state store's folder. Assumptions about SQLite: a commit writes the log's
 * header if that is new, syncs log and folder, writes the frames and syncs the log; a checkpoint then writes pages of
 * the file and syncs it; founding creates the file and the rollback journal, syncs journal and folder, writes the first
 * page, syncs the file, removes the journal and syncs the folder; closing checkpoints and removes the log without a
 * sync of the folder. Assumptions about the disk: synced bytes last; of bytes written later each sector is old, new or
 * torn, or zeroes where the file was shorter; each name created or removed after the folder's last sync is retained or
 * lost independently. Single-threaded.
 */
final class CutDisk implements Syncer {
    private static final String MAIN = "office.db";
    private static final String LOG = "office.db-wal";
    private static final String JOURNAL = "office.db-journal";
    private static final int LOG_HEADER = 32;
    private static final byte[] NONE = new byte[0];

    private final SplittableRandom random;
    private final StateStorePlay.Bug bug;
    /** The files as a process sees them. */
    private Map<String, byte[]> files = new TreeMap<>();
    /** The synced content of files that a killed process left partly unsynced. */
    private final Map<String, byte[]> synced = new TreeMap<>();
    /** Names whose removal is not synced, so that they may come back. */
    private final Map<String, byte[]> removedNames = new TreeMap<>();
    /** Names whose creation is not synced, so that they may be lost. */
    private final Set<String> createdNames = new TreeSet<>();

    private Map<String, byte[]> atOpen = Map.of();
    private Map<String, byte[]> beforeStep = Map.of();
    private Map<String, byte[]> afterStep = Map.of();
    private boolean founding;
    private String phase = "";
    private boolean mustBeNew;

    CutDisk(SplittableRandom random, StateStorePlay.Bug bug) {
        this.random = random;
        this.bug = bug;
    }

    @Override
    public void syncFile(Path file) {
        if (bug != StateStorePlay.Bug.KILLED_LOG_NOT_SYNCED && bug != StateStorePlay.Bug.SYNCS_IGNORED) {
            synced.remove(file.getFileName().toString());
        }
    }

    @Override
    public void syncFolder(Path folder) {
        folderSynced();
    }

    private void folderSynced() {
        if (bug != StateStorePlay.Bug.FOLDER_SYNCS_IGNORED) {
            removedNames.clear();
            createdNames.clear();
        }
    }

    Map<String, byte[]> files() {
        return files;
    }

    String phase() {
        return phase;
    }

    /** Whether the last generated state contains the complete log of the step. */
    boolean mustBeNew() {
        return mustBeNew;
    }

    void store(Path folder) throws IOException {
        store(files, folder);
    }

    static void store(Map<String, byte[]> state, Path folder) throws IOException {
        for (Map.Entry<String, byte[]> e : state.entrySet()) {
            Files.write(folder.resolve(e.getKey()), e.getValue());
        }
    }

    static void remove(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private static Map<String, byte[]> image(Path folder) throws IOException {
        Map<String, byte[]> all = new TreeMap<>();
        try (Stream<Path> list = Files.list(folder)) {
            for (Path p : list.toList()) {
                all.put(p.getFileName().toString(), Files.readAllBytes(p));
            }
        }
        return all;
    }

    // --- steps

    /** A process is about to open these files. */
    void opening() {
        atOpen = files;
        mustBeNew = false;
    }

    /** The process has opened the files. */
    void opened(Path folder) throws IOException {
        beforeStep = files;
        afterStep = image(folder);
        founding = bytesOf(beforeStep, MAIN).length == 0 || bytesOf(beforeStep, JOURNAL).length > 0;
        if (founding && bug == StateStorePlay.Bug.FOLDER_SYNCS_IGNORED) {
            removedNames.put(JOURNAL, journal());
        }
        afterStep.keySet().stream().filter(n -> !beforeStep.containsKey(n)).forEach(createdNames::add);
        if (founding) {
            // The first sync of the log is followed by one of the folder.
            folderSynced();
        }
        files = afterStep;
    }

    /** A write is about to begin. */
    void stepBegan(Path folder) throws IOException {
        beforeStep = image(folder);
        files = beforeStep;
        if (!Arrays.equals(header(atOpen), header(beforeStep))) {
            // The log was restarted: a checkpoint has synced the file.
            synced.remove(MAIN);
        }
    }

    /** The step has returned, as far as a process sees. */
    void stepReturned(Path folder) throws IOException {
        afterStep = image(folder);
    }

    /** A write has returned. */
    void written() {
        if (bug != StateStorePlay.Bug.SYNCS_IGNORED) {
            synced.remove(LOG);
        }
        folderSynced();
    }

    /** The state store was closed. */
    void closed() {
        files = afterStep;
        synced.clear();
        removedNames.put(LOG, bytesOf(beforeStep, LOG));
    }

    /** The power is back, and the files have this state. */
    void restart(Map<String, byte[]> state) {
        files = state;
        synced.clear();
        removedNames.clear();
        createdNames.clear();
    }

    /** The process is killed in the step; the files stay as they were, synced or not. */
    void killWriting() {
        byte[] begun = withHeader(header(afterStep), bytesOf(beforeStep, LOG));
        folderSynced();
        files = new TreeMap<>(beforeStep);
        if (random.nextBoolean()) {
            byte[] log = bytesOf(afterStep, LOG);
            int reached = random.nextBoolean() ? log.length : random.nextInt(LOG_HEADER, log.length);
            byte[] seen = Arrays.copyOf(log, Math.max(reached, begun.length));
            System.arraycopy(
                    begun,
                    Math.min(reached, begun.length),
                    seen,
                    Math.min(reached, begun.length),
                    begun.length - Math.min(reached, begun.length));
            files.put(LOG, seen);
            synced.put(LOG, begun);
        } else {
            files.put(LOG, bytesOf(afterStep, LOG));
            files.put(MAIN, torn(bytesOf(beforeStep, MAIN), bytesOf(afterStep, MAIN)));
            synced.remove(LOG);
            synced.putIfAbsent(MAIN, bytesOf(beforeStep, MAIN));
        }
    }

    // --- losses of power

    /** A random state that a loss of power in this step may leave; each call draws another one. */
    Map<String, byte[]> powerLoss(String how) {
        mustBeNew = false;
        return switch (how) {
            case "power while opening" -> founding ? foundingPowerLoss() : openingPowerLoss();
            case "power after opening" -> afterSync(afterStep, "opened");
            case "power while writing" -> writingPowerLoss();
            default -> closingPowerLoss();
        };
    }

    // The files as a process sees them, except for what was not synced.
    private Map<String, byte[]> afterSync(Map<String, byte[]> seen, String where) {
        phase = where;
        Map<String, byte[]> state = new TreeMap<>(seen);
        if (bug == StateStorePlay.Bug.SYNCS_IGNORED) {
            state.replaceAll((n, b) -> torn(bytesOf(atOpen, n), b));
        }
        synced.forEach((n, b) -> state.computeIfPresent(n, (k, v) -> torn(b, v)));
        loseNames(state);
        return state;
    }

    // Each unsynced creation or removal of a name may be lost independently.
    private void loseNames(Map<String, byte[]> state) {
        createdNames.forEach(n -> {
            if (random.nextBoolean()) {
                state.remove(n);
            }
        });
        removedNames.forEach((n, b) -> {
            if (random.nextBoolean()) {
                state.put(n, b);
            }
        });
    }

    private Map<String, byte[]> openingPowerLoss() {
        return afterSync(random.nextBoolean() ? beforeStep : afterStep, "opening");
    }

    private Map<String, byte[]> foundingPowerLoss() {
        byte[] journal = journal();
        Map<String, byte[]> state = new TreeMap<>();
        int stage = random.nextInt(5);
        phase = "founding " + stage;
        switch (stage) {
            case 0 -> {
                // Nothing is synced; files of an earlier founding may be present.
                state.putAll(beforeStep);
                putOrNot(state, MAIN, bytesOf(beforeStep, MAIN));
                putOrNot(state, JOURNAL, torn(bytesOf(beforeStep, JOURNAL), journal));
            }
            case 1 -> {
                state.put(MAIN, torn(bytesOf(beforeStep, MAIN), bytesOf(afterStep, MAIN)));
                state.put(JOURNAL, journal);
            }
            case 2 -> {
                state.put(MAIN, bytesOf(afterStep, MAIN));
                putOrNot(state, JOURNAL, journal);
            }
            case 3 -> {
                state.put(MAIN, bytesOf(afterStep, MAIN));
                putOrNot(state, LOG, torn(NONE, header(afterStep)));
                putOrNot(state, JOURNAL, journal);
            }
            default -> {
                state.put(MAIN, bytesOf(afterStep, MAIN));
                state.put(LOG, torn(header(afterStep), bytesOf(afterStep, LOG)));
            }
        }
        return state;
    }

    private void putOrNot(Map<String, byte[]> state, String name, byte[] bytes) {
        if (random.nextBoolean()) {
            state.put(name, bytes);
        }
    }

    private Map<String, byte[]> writingPowerLoss() {
        Map<String, byte[]> state = new TreeMap<>(beforeStep);
        byte[] old =
                synced.containsKey(LOG) ? torn(synced.get(LOG), bytesOf(beforeStep, LOG)) : bytesOf(beforeStep, LOG);
        boolean header = !Arrays.equals(header(beforeStep), header(afterStep));
        boolean checkpoint = !Arrays.equals(bytesOf(beforeStep, MAIN), bytesOf(afterStep, MAIN));
        if (!header && synced.containsKey(MAIN)) {
            state.put(MAIN, torn(synced.get(MAIN), bytesOf(beforeStep, MAIN)));
        }
        if (bug == StateStorePlay.Bug.SYNCS_IGNORED) {
            mustBeNew = random.nextBoolean();
            return afterSync(afterStep, mustBeNew ? "written" : "frames");
        }
        int stage = random.nextInt(header ? 0 : 1, checkpoint ? 4 : 3);
        if (stage == 0) {
            phase = "header";
            state.put(LOG, withHeader(torn(header(beforeStep), header(afterStep)), old));
            if (bytesOf(beforeStep, LOG).length == 0) {
                createdNames.add(LOG);
            }
            loseNames(state);
            return state;
        }
        folderSynced();
        if (stage == 1) {
            phase = "frames";
            state.put(LOG, torn(withHeader(header(afterStep), old), bytesOf(afterStep, LOG)));
        } else {
            mustBeNew = true;
            phase = stage == 2 ? "written" : "checkpoint";
            state.put(LOG, bytesOf(afterStep, LOG));
            // The log is complete, so any mixture of old and new pages of the file is recoverable.
            state.put(
                    MAIN,
                    stage == 2 && !checkpoint
                            ? bytesOf(state, MAIN)
                            : torn(bytesOf(state, MAIN), bytesOf(afterStep, MAIN)));
        }
        if (bug == StateStorePlay.Bug.FOLDER_SYNCS_IGNORED) {
            loseNames(state);
        }
        return state;
    }

    private Map<String, byte[]> closingPowerLoss() {
        Map<String, byte[]> state = new TreeMap<>(beforeStep);
        if (random.nextBoolean()) {
            phase = "closing";
            state.put(MAIN, torn(bytesOf(beforeStep, MAIN), bytesOf(afterStep, MAIN)));
        } else {
            phase = "closed";
            state.put(MAIN, bytesOf(afterStep, MAIN));
            if (random.nextBoolean()) {
                state.remove(LOG);
            }
        }
        if (bug == StateStorePlay.Bug.FOLDER_SYNCS_IGNORED) {
            loseNames(state);
        }
        return state;
    }

    /** The closed file with one flipped bit or one zeroed sector. */
    Map<String, byte[]> corrupted() {
        byte[] bytes = bytesOf(files, MAIN).clone();
        int offset = random.nextInt(bytes.length);
        if (random.nextInt(4) == 0) {
            int sector = offset / 512 * 512;
            Arrays.fill(bytes, sector, Math.min(bytes.length, sector + 512), (byte) 0);
        } else {
            bytes[offset] ^= (byte) (1 << random.nextInt(8));
        }
        Map<String, byte[]> state = new TreeMap<>();
        state.put(MAIN, bytes);
        return state;
    }

    // --- bytes

    private static byte[] bytesOf(Map<String, byte[]> state, String name) {
        return state.getOrDefault(name, NONE);
    }

    private static byte[] header(Map<String, byte[]> state) {
        byte[] log = bytesOf(state, LOG);
        return Arrays.copyOf(log, Math.min(log.length, LOG_HEADER));
    }

    // The log with its header replaced by this one.
    private static byte[] withHeader(byte[] header, byte[] log) {
        byte[] all = Arrays.copyOf(log, Math.max(log.length, header.length));
        System.arraycopy(header, 0, all, 0, header.length);
        return all;
    }

    // Each sector is old, new or torn; beyond the old end, old bytes are zeroes.
    private byte[] torn(byte[] old, byte[] next) {
        int sector = random.nextBoolean() ? 512 : 4096;
        int low = Math.min(old.length, next.length);
        int high = Math.max(old.length, next.length);
        int length =
                switch (random.nextInt(4)) {
                    case 0 -> old.length;
                    case 1 -> random.nextInt(low, high + 1);
                    default -> next.length;
                };
        byte[] all = Arrays.copyOf(old, length);
        double kept = List.of(0.0, 0.1, 0.5, 0.9, 1.0).get(random.nextInt(5));
        for (int a = 0; a < length; a += sector) {
            int end = Math.min(length, Math.min(next.length, a + sector));
            int begin = a;
            if (random.nextInt(10) == 0 && end > a) {
                int torn = random.nextInt(a, end + 1);
                if (random.nextBoolean()) {
                    begin = torn;
                } else {
                    end = torn;
                }
            } else if (random.nextDouble() >= kept) {
                continue;
            }
            if (end > begin) {
                System.arraycopy(next, begin, all, begin, end - begin);
            }
        }
        return all;
    }

    // The rollback journal of a founding, which has no earlier pages.
    private byte[] journal() {
        return ByteBuffer.allocate(512)
                .putLong(0xd9d505f920a163d7L)
                .putInt(0)
                .putInt(random.nextInt())
                .putInt(0)
                .putInt(512)
                .putInt(4096)
                .array();
    }
}
