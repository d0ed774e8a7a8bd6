package whinlead.testbed.mesh.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import whinlead.mesh.log.Event;

/**
 * What a process's sidecars logged: how often each event, and when each version came in force. Times are of
 * {@link System#nanoTime}, which all processes of a Linux machine share. For any thread.
 */
final class Heard extends Handler {
    private static final String VERSION = "version ";
    private static final String SILENT = "silent";
    private static final int HEX = 16;

    private final SimpleFormatter formatter = new SimpleFormatter();
    private final Map<String, Integer> events = new HashMap<>();
    private final Map<Long, List<Long>> inForce = new HashMap<>();
    private double heap = Double.NaN;

    /** Hears all loggers of this process, in place of who did. */
    void listen() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.INFO);
        root.addHandler(this);
    }

    @Override
    public void publish(LogRecord entry) {
        line(formatter.formatMessage(entry), System.nanoTime());
    }

    /** Takes a line of the log. */
    synchronized void line(String line, long nanos) {
        if (line.startsWith(Tethered.HEAP)) {
            heap = Long.parseLong(line.substring(Tethered.HEAP.length()));
        }
        int space = line.indexOf(' ');
        events.merge(line.substring(0, Math.max(0, space)), 1, Integer::sum);
        if (line.startsWith(Event.ENDPOINT.number() + " ") && line.endsWith(SILENT)) {
            events.merge(SILENT, 1, Integer::sum);
        }
        int at = line.indexOf(VERSION);
        if (at >= 0 && line.startsWith(Event.CONFIG_IN_FORCE.number() + " ")) {
            String version = line.substring(at + VERSION.length()).split(" ")[0];
            inForce.computeIfAbsent(Long.parseLong(version, HEX), v -> new ArrayList<>())
                    .add(nanos);
        }
    }

    /** What a {@link Tethered} process told of its heap last, in bytes; NaN before that. */
    synchronized double heap() {
        return heap;
    }

    /** How often an event came. */
    synchronized int count(Event event) {
        return events.getOrDefault(Integer.toString(event.number()), 0);
    }

    /** How often an endpoint's beats stayed away. */
    synchronized int silent() {
        return events.getOrDefault(SILENT, 0);
    }

    /** When a version came in force, once for each sidecar here that had it. */
    synchronized List<Long> inForce(long version) {
        return List.copyOf(inForce.getOrDefault(version, List.of()));
    }

    /** Writes it all, for {@link #parse}. */
    synchronized void report(PrintStream out) {
        events.forEach((number, count) -> out.println("event " + number + " " + count));
        inForce.forEach((version, times) -> {
            StringBuilder line = new StringBuilder("force ").append(version);
            times.forEach(t -> line.append(' ').append(t));
            out.println(line);
        });
    }

    /** Takes a line that {@link #report} wrote. */
    synchronized void parse(String line) {
        String[] words = line.split(" ");
        if ("event".equals(words[0])) {
            events.put(words[1], Integer.parseInt(words[2]));
        } else if ("force".equals(words[0])) {
            List<Long> times = new ArrayList<>();
            for (int i = 2; i < words.length; i++) {
                times.add(Long.parseLong(words[i]));
            }
            inForce.put(Long.parseLong(words[1]), times);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
