package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start of the script. Thread-safe. */
final class Record {
    private static final long START = System.nanoTime();
    private final List<String> lines = new ArrayList<>();
    private final Path file;

    Record(Path file) {
        this.file = file;
    }

    /** Seconds since the start, by the steady clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void add(String line) {
        lines.add(String.format(Locale.ROOT, "%9.3f %s", now(), line));
    }

    /** Adds a line and prints it. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    synchronized void write() {
        try {
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
