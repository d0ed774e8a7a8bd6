package whinlead.testbed.mesh.hardening;

import java.io.PrintStream;
import java.util.Locale;

/** Writes what a schedule does line by line, or nothing. Single-threaded. */
public final class Trace {
    /** Writes nothing. */
    public static final Trace NONE = new Trace(null);

    private final PrintStream out;

    /** Writes to the given stream. */
    public Trace(PrintStream out) {
        this.out = out;
    }

    /** Whether tracing is on. */
    boolean isEnabled() {
        return out != null;
    }

    /** Writes a line. */
    void write(double nowMs, String what) {
        if (out != null) {
            out.printf(Locale.ROOT, "%10.1f %s%n", nowMs, what);
        }
    }
}
