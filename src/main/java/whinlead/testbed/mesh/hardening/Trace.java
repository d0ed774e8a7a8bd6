package whinlead.testbed.mesh.hardening;

import java.io.PrintStream;
import java.util.Locale;

/** Tells what a schedule does, line by line, or nothing. One thread. */
public final class Trace {
    /** Tells nothing. */
    public static final Trace NONE = new Trace(null);

    private final PrintStream out;

    /** Tells it there. */
    public Trace(PrintStream out) {
        this.out = out;
    }

    /** Whether anyone listens. */
    boolean on() {
        return out != null;
    }

    /** Tells it. */
    void tell(double now, String what) {
        if (out != null) {
            out.printf(Locale.ROOT, "%10.1f %s%n", now, what);
        }
    }
}
