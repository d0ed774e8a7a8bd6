package whinlead.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import whinlead.replication.Trace;

/**
 * Writes each step of a request as a line of JSON to a file of bounded size: the JDK's {@link FileHandler} rotates
 * files and deletes the oldest. A line has the wall-clock time, the process, the request and the step, so that
 * {@code copies follow} can merge the files of several processes. Lines are written on the engine's thread, and only if
 * the operator configures tracing.
 */
final class TraceFile implements Trace {
    private static final int FILE_BYTES = 10 << 20;
    private static final int FILE_COUNT = 3;

    private final FileHandler fileHandler;
    private final String processName;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Opens the file for appending.
     *
     * @throws IOException with a one-line message, if the file can't be written
     */
    TraceFile(Path path, String process) throws IOException {
        this.processName = process;
        fileHandler = new FileHandler(path.toString().replace("%", "%%") + ".%g", FILE_BYTES, FILE_COUNT, true);
        fileHandler.setFormatter(new Formatter() {
            @Override
            public String format(LogRecord record) {
                return record.getMessage() + "\n";
            }
        });
    }

    @Override
    public void step(String id, Step step, String detail) {
        LogRecord record = new LogRecord(Level.INFO, "");
        ObjectNode line = mapper.createObjectNode()
                .put("at", record.getInstant().toString())
                .put("process", processName)
                .put("request", id)
                .put("step", step.name().toLowerCase(Locale.ROOT))
                .put("detail", detail);
        try {
            record.setMessage(mapper.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a trace line as JSON", e);
        }
        fileHandler.publish(record);
    }
}
