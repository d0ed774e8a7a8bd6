package whinlead.mesh.log;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** Logging setup of the mesh's processes: one line per event, on standard error. */
public final class Logs {
    /** Log lines of libraries are hidden unless they report errors. */
    private static final String CONFIGURATION = """
            handlers=java.util.logging.ConsoleHandler
            .level=INFO
            java.util.logging.ConsoleHandler.level=ALL
            java.util.logging.SimpleFormatter.format=%5$s%6$s%n
            org.hibernate.level=SEVERE
            io.netty.level=SEVERE
            """;

    private Logs() {}

    /** Configures logging; must be called before the first event. */
    public static void configure() {
        System.setProperty("slf4j.internal.verbosity", "ERROR");
        try {
            LogManager.getLogManager()
                    .readConfiguration(new ByteArrayInputStream(CONFIGURATION.getBytes(StandardCharsets.ISO_8859_1)));
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory failed", e);
        }
    }
}
