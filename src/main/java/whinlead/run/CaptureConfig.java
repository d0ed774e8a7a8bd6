package whinlead.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.capture.Recorder;

/**
 * Where a sidecar captures what it serves, as an operator's file says ({@code docs/planner.md}).
 *
 * @param folder an existing one; files are {@code load-0.capture} and so on, of which the oldest goes
 * @param files how many are kept
 * @param bytes of each
 * @param queue entries that may wait for the disk
 */
record CaptureConfig(Path folder, int files, long bytes, int queue) {
    private static final Set<String> FIELDS = Set.of("folder", "files", "file_mb", "queue");
    private static final int MAX_FILES = 1000;
    private static final int MEGABYTE = 1 << 20;
    private static final int MAX_MEGABYTES = 1024;
    private static final int MIN_QUEUE = 16;
    private static final int MAX_QUEUE = 65_536;
    /** After its deadline a request is over but for what the engine needs to say so. */
    private static final double ENDED_MS = 1000;

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException with one line that says what is missing or malformed
     */
    static CaptureConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.text(path), mapper);
    }

    /** Reads its text. */
    static CaptureConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.object(text, mapper, "capture", FIELDS);
        Path folder = Path.of(json.path("folder").asText(""));
        if (!json.path("folder").isTextual() || !Files.isDirectory(folder) || !Files.isWritable(folder)) {
            throw new IllegalArgumentException("capture.folder is no folder that can be written to");
        }
        return new CaptureConfig(
                folder,
                whole(json, "files", 4, 1, MAX_FILES),
                (long) whole(json, "file_mb", 16, 1, MAX_MEGABYTES) * MEGABYTE,
                whole(json, "queue", 8192, MIN_QUEUE, MAX_QUEUE));
    }

    private static int whole(JsonNode json, String field, int absent, int least, int most) {
        return OperatorFile.whole(json, "capture", field, absent, least, most);
    }

    /** Begins to capture requests of these settings' classes. */
    Recorder start(Contract.Settings settings, Consumer<String> log) {
        double longest = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        int[] next = new int[1];
        return new Recorder(
                settings.classes().stream().map(Contract.RequestClass::name).toList(),
                new Recorder.Bounds(queue, longest + ENDED_MS, bytes),
                () -> open(next[0]++),
                log);
    }

    private OutputStream open(int number) throws IOException {
        // Over the one that was written longest ago.
        return Files.newOutputStream(
                folder.resolve("load-" + number % files + ".capture"),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }
}
