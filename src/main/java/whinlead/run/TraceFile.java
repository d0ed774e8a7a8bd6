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
 * Each step with a request as a line of JSON in a file that is bounded: the JDK's {@link FileHandler} begins the next
 * one and drops the oldest. A line has the time by the wall clock, the process, the request and the step, so that
 * {@code copies follow} can put those of several processes together. Written on the engine's thread, by the operator's
 * wish.
 */
final class TraceFile implements Trace {
    private static final int BYTES_EACH = 10 << 20;
    private static final int FILES = 3;

    private final FileHandler file;
    private final String process;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Opens it, to be added to.
     *
     * @throws IOException with one line, if it can't be written
     */
    TraceFile(Path path, String process) throws IOException {
        this.process = process;
        file = new FileHandler(path.toString().replace("%", "%%") + ".%g", BYTES_EACH, FILES, true);
        file.setFormatter(new Formatter() {
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
                .put("process", process)
                .put("request", id)
                .put("step", step.name().toLowerCase(Locale.ROOT))
                .put("detail", detail);
        try {
            record.setMessage(mapper.writeValueAsString(line));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("strings can be written", e);
        }
        file.publish(record);
    }
}
