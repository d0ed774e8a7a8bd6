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
 * What a loss of power may leave of a state store's folder. Of SQLite it assumes: a commit writes the log's header, if
 * that is new, syncs log and folder, writes the frames, syncs the log; a checkpoint then writes pages of the file and
 * syncs it; a founding makes file and rollback journal, syncs journal and folder, writes the first page, syncs the
 * file, removes the journal and syncs the folder; a close checkpoints and removes the log, with no sync of the folder.
 * Of the disk: what a sync has covered stays; of the bytes written after it any sector is old, new or torn, and where
 * the file was shorter, zeroes; each name made or removed after the folder's last sync is kept or lost by itself. One
 * thread.
 */
final class CutDisk implements Syncer {
    private static final String MAIN = "office.db";
    private static final String LOG = "office.db-wal";
    private static final String JOURNAL = "office.db-journal";
    private static final int LOG_HEADER = 32;
    private static final byte[] NONE = new byte[0];

    private final SplittableRandom random;
    private final LedgerPlay.Bug bug;
    /** As a process sees the files. */
    private Map<String, byte[]> files = new TreeMap<>();
    /** What a sync has covered of a file, where that is less: what a killed process left. */
    private final Map<String, byte[]> synced = new TreeMap<>();
    /** Names that were removed and may come back. */
    private final Map<String, byte[]> ghosts = new TreeMap<>();
    /** Names that were made and may be lost. */
    private final Set<String> made = new TreeSet<>();

    private Map<String, byte[]> start = Map.of();
    private Map<String, byte[]> from = Map.of();
    private Map<String, byte[]> to = Map.of();
    private boolean founding;
    private String phase = "";
    private boolean mustBeNew;

    CutDisk(SplittableRandom random, LedgerPlay.Bug bug) {
        this.random = random;
        this.bug = bug;
    }

    @Override
    public void file(Path file) {
        if (bug != LedgerPlay.Bug.KILLED_LOG_NOT_SYNCED && bug != LedgerPlay.Bug.SYNCS_IGNORED) {
            synced.remove(file.getFileName().toString());
        }
    }

    @Override
    public void folder(Path folder) {
        folderSynced();
    }

    private void folderSynced() {
        if (bug != LedgerPlay.Bug.FOLDER_SYNCS_IGNORED) {
            ghosts.clear();
            made.clear();
        }
    }

    Map<String, byte[]> files() {
        return files;
    }

    String phase() {
        return phase;
    }

    /** Whether the state that was made last holds the whole of the step's log. */
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
    void begin() {
        start = files;
        mustBeNew = false;
    }

    /** It has. */
    void opened(Path folder) throws IOException {
        from = files;
        to = image(folder);
        founding = of(from, MAIN).length == 0 || of(from, JOURNAL).length > 0;
        if (founding && bug == LedgerPlay.Bug.FOLDER_SYNCS_IGNORED) {
            ghosts.put(JOURNAL, journal());
        }
        to.keySet().stream().filter(n -> !from.containsKey(n)).forEach(made::add);
        if (founding) {
            // The first sync of the log is followed by one of the folder.
            folderSynced();
        }
        files = to;
    }

    /** A write is about to begin. */
    void before(Path folder) throws IOException {
        from = image(folder);
        files = from;
        if (!Arrays.equals(header(start), header(from))) {
            // The log was begun anew: a checkpoint has synced the file.
            synced.remove(MAIN);
        }
    }

    /** The step that began there has returned, as far as a process sees. */
    void after(Path folder) throws IOException {
        to = image(folder);
    }

    /** A write has returned. */
    void written() {
        if (bug != LedgerPlay.Bug.SYNCS_IGNORED) {
            synced.remove(LOG);
        }
        folderSynced();
    }

    /** The state store was closed. */
    void closed() {
        files = to;
        synced.clear();
        ghosts.put(LOG, of(from, LOG));
    }

    /** The power is back, and this is what there is. */
    void settle(Map<String, byte[]> state) {
        files = state;
        synced.clear();
        ghosts.clear();
        made.clear();
    }

    /** The process is killed in the step; the files stay as they were then, synced or not. */
    void killWriting() {
        byte[] begun = join(header(to), of(from, LOG));
        folderSynced();
        files = new TreeMap<>(from);
        if (random.nextBoolean()) {
            byte[] log = of(to, LOG);
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
            files.put(LOG, of(to, LOG));
            files.put(MAIN, mix(of(from, MAIN), of(to, MAIN)));
            synced.remove(LOG);
            synced.putIfAbsent(MAIN, of(from, MAIN));
        }
    }

    // --- cuts

    /** What a loss of power in this step may leave; each call another. */
    Map<String, byte[]> cut(String how) {
        mustBeNew = false;
        return switch (how) {
            case "power while opening" -> founding ? foundingCut() : openingCut();
            case "power after opening" -> lasting(to, "opened");
            case "power while writing" -> writingCut();
            default -> closingCut();
        };
    }

    // The files as they are seen, but for what was not synced.
    private Map<String, byte[]> lasting(Map<String, byte[]> seen, String where) {
        phase = where;
        Map<String, byte[]> state = new TreeMap<>(seen);
        if (bug == LedgerPlay.Bug.SYNCS_IGNORED) {
            state.replaceAll((n, b) -> mix(of(start, n), b));
        }
        synced.forEach((n, b) -> state.computeIfPresent(n, (k, v) -> mix(b, v)));
        names(state);
        return state;
    }

    // Each name for itself.
    private void names(Map<String, byte[]> state) {
        made.forEach(n -> {
            if (random.nextBoolean()) {
                state.remove(n);
            }
        });
        ghosts.forEach((n, b) -> {
            if (random.nextBoolean()) {
                state.put(n, b);
            }
        });
    }

    private Map<String, byte[]> openingCut() {
        return lasting(random.nextBoolean() ? from : to, "opening");
    }

    private Map<String, byte[]> foundingCut() {
        byte[] journal = journal();
        Map<String, byte[]> state = new TreeMap<>();
        int stage = random.nextInt(5);
        phase = "founding " + stage;
        switch (stage) {
            case 0 -> {
                // Nothing is synced; what an earlier founding left may be there.
                state.putAll(from);
                maybe(state, MAIN, of(from, MAIN));
                maybe(state, JOURNAL, mix(of(from, JOURNAL), journal));
            }
            case 1 -> {
                state.put(MAIN, mix(of(from, MAIN), of(to, MAIN)));
                state.put(JOURNAL, journal);
            }
            case 2 -> {
                state.put(MAIN, of(to, MAIN));
                maybe(state, JOURNAL, journal);
            }
            case 3 -> {
                state.put(MAIN, of(to, MAIN));
                maybe(state, LOG, mix(NONE, header(to)));
                maybe(state, JOURNAL, journal);
            }
            default -> {
                state.put(MAIN, of(to, MAIN));
                state.put(LOG, mix(header(to), of(to, LOG)));
            }
        }
        return state;
    }

    private void maybe(Map<String, byte[]> state, String name, byte[] bytes) {
        if (random.nextBoolean()) {
            state.put(name, bytes);
        }
    }

    private Map<String, byte[]> writingCut() {
        Map<String, byte[]> state = new TreeMap<>(from);
        byte[] old = synced.containsKey(LOG) ? mix(synced.get(LOG), of(from, LOG)) : of(from, LOG);
        boolean header = !Arrays.equals(header(from), header(to));
        boolean checkpoint = !Arrays.equals(of(from, MAIN), of(to, MAIN));
        if (!header && synced.containsKey(MAIN)) {
            state.put(MAIN, mix(synced.get(MAIN), of(from, MAIN)));
        }
        if (bug == LedgerPlay.Bug.SYNCS_IGNORED) {
            mustBeNew = random.nextBoolean();
            return lasting(to, mustBeNew ? "written" : "frames");
        }
        int at = random.nextInt(header ? 0 : 1, checkpoint ? 4 : 3);
        if (at == 0) {
            phase = "header";
            state.put(LOG, join(mix(header(from), header(to)), old));
            if (of(from, LOG).length == 0) {
                made.add(LOG);
            }
            names(state);
            return state;
        }
        folderSynced();
        if (at == 1) {
            phase = "frames";
            state.put(LOG, mix(join(header(to), old), of(to, LOG)));
        } else {
            mustBeNew = true;
            phase = at == 2 ? "written" : "checkpoint";
            state.put(LOG, of(to, LOG));
            // With the log whole, any mixture of the file's pages will do.
            state.put(MAIN, at == 2 && !checkpoint ? of(state, MAIN) : mix(of(state, MAIN), of(to, MAIN)));
        }
        if (bug == LedgerPlay.Bug.FOLDER_SYNCS_IGNORED) {
            names(state);
        }
        return state;
    }

    private Map<String, byte[]> closingCut() {
        Map<String, byte[]> state = new TreeMap<>(from);
        if (random.nextBoolean()) {
            phase = "closing";
            state.put(MAIN, mix(of(from, MAIN), of(to, MAIN)));
        } else {
            phase = "closed";
            state.put(MAIN, of(to, MAIN));
            if (random.nextBoolean()) {
                state.remove(LOG);
            }
        }
        if (bug == LedgerPlay.Bug.FOLDER_SYNCS_IGNORED) {
            names(state);
        }
        return state;
    }

    /** The closed file with a byte or a sector gone bad. */
    Map<String, byte[]> rotten() {
        byte[] b = of(files, MAIN).clone();
        int at = random.nextInt(b.length);
        if (random.nextInt(4) == 0) {
            int sector = at / 512 * 512;
            Arrays.fill(b, sector, Math.min(b.length, sector + 512), (byte) 0);
        } else {
            b[at] ^= (byte) (1 << random.nextInt(8));
        }
        Map<String, byte[]> state = new TreeMap<>();
        state.put(MAIN, b);
        return state;
    }

    // --- bytes

    private static byte[] of(Map<String, byte[]> state, String name) {
        return state.getOrDefault(name, NONE);
    }

    private static byte[] header(Map<String, byte[]> state) {
        byte[] log = of(state, LOG);
        return Arrays.copyOf(log, Math.min(log.length, LOG_HEADER));
    }

    // This header, and behind it what stands there in the log.
    private static byte[] join(byte[] header, byte[] log) {
        byte[] all = Arrays.copyOf(log, Math.max(log.length, header.length));
        System.arraycopy(header, 0, all, 0, header.length);
        return all;
    }

    // Any sector old, new or torn; beyond the old end, zeroes for old.
    private byte[] mix(byte[] old, byte[] next) {
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

    // The rollback journal of a founding: no page was there before.
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
