package whinlead.mesh.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** How the mesh's processes log: one line an event, on standard error. */
public final class Logs {
    /** Libraries' notes on themselves are no lines for operators; what goes wrong is. */
    private static final String CONFIGURATION = """
            handlers=java.util.logging.ConsoleHandler
            .level=INFO
            java.util.logging.ConsoleHandler.level=ALL
            java.util.logging.SimpleFormatter.format=%5$s%6$s%n
            org.hibernate.level=SEVERE
            io.netty.level=SEVERE
            """;

    private Logs() {}

    /** Sets it up; to be called before the first event. */
    public static void start() {
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        try {
            LogManager.getLogManager()
                    .readConfiguration(new ByteArrayInputStream(CONFIGURATION.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory failed", e);
        }
    }
}
