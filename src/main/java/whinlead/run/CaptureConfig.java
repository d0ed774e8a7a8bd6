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
 * Where and how a sidecar captures the requests that it serves, read from an operator's file ({@code docs/planner.md}).
 *
 * @param folder existing folder for the files {@code load-0.capture} and so on, of which the oldest is overwritten
 * @param fileCount number of files that are retained
 * @param fileBytes maximum size of a file
 * @param queueEntries number of entries that may wait for the disk
 */
record CaptureConfig(Path folder, int fileCount, long fileBytes, int queueEntries) {
    private static final Set<String> FIELDS = Set.of("folder", "files", "file_mb", "queue");
    private static final int MAX_FILES = 1000;
    private static final int BYTES_PER_MEGABYTE = 1 << 20;
    private static final int MAX_MEGABYTES = 1024;
    private static final int MIN_QUEUE = 16;
    private static final int MAX_QUEUE = 65_536;
    /** Time after its deadline within which the engine reports the end of a request. */
    private static final double COMPLETION_MARGIN_MS = 1000;

    /**
     * Reads the configuration from a file.
     *
     * @throws IllegalArgumentException with a one-line message that says what is missing or malformed
     */
    static CaptureConfig read(String path, ObjectMapper mapper) {
        return parse(OperatorFile.readText(path), mapper);
    }

    /** Parses the text of the file. */
    static CaptureConfig parse(String text, ObjectMapper mapper) {
        JsonNode json = OperatorFile.parseObject(text, mapper, "capture", FIELDS);
        Path folder = Path.of(json.path("folder").asText(""));
        if (!json.path("folder").isTextual() || !Files.isDirectory(folder) || !Files.isWritable(folder)) {
            throw new IllegalArgumentException("capture.folder is not a writable folder");
        }
        return new CaptureConfig(
                folder,
                wholeNumber(json, "files", 4, 1, MAX_FILES),
                (long) wholeNumber(json, "file_mb", 16, 1, MAX_MEGABYTES) * BYTES_PER_MEGABYTE,
                wholeNumber(json, "queue", 8192, MIN_QUEUE, MAX_QUEUE));
    }

    private static int wholeNumber(JsonNode json, String field, int defaultValue, int min, int max) {
        return OperatorFile.wholeNumber(json, "capture", field, defaultValue, min, max);
    }

    /** Starts to capture requests of the classes in these settings. */
    Recorder start(Contract.Settings settings, Consumer<String> log) {
        double longestDeadlineMs = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::deadline)
                .max()
                .orElse(0);
        int[] nextFileNumber = new int[1];
        return new Recorder(
                settings.classes().stream().map(Contract.RequestClass::name).toList(),
                new Recorder.Bounds(queueEntries, longestDeadlineMs + COMPLETION_MARGIN_MS, fileBytes),
                () -> openFile(nextFileNumber[0]++),
                log);
    }

    private OutputStream openFile(int fileNumber) throws IOException {
        // Overwrites the file that was written longest ago.
        return Files.newOutputStream(
                folder.resolve("load-" + fileNumber % fileCount + ".capture"),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }
}
