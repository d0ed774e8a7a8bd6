package whinlead.testbed;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

/** Prints figures, one a line, with what is promised of each, and notes whether all promises were kept. */
public final class Promises {
    private final PrintStream out;
    private boolean kept = true;

    /** Prints there. */
    public Promises(PrintStream out) {
        this.out = out;
    }

    /** A figure that nothing is promised of. */
    public void figure(String name, double value) {
        out.printf(Locale.ROOT, "%s: %.4f%n", name, value);
    }

    /** A figure that is to stay under a bound. */
    public void under(String name, double value, double bound) {
        promise(name, value, "under", bound, value < bound);
    }

    /** A figure that is to stay over a bound. */
    public void over(String name, double value, double bound) {
        promise(name, value, "over", bound, value > bound);
    }

    /** The rules that a run broke, of which there are to be none. */
    public void rules(String name, Map<String, Integer> broken) {
        out.printf(
                Locale.ROOT,
                "%s: %s (promised: none)%s%n",
                name,
                broken.isEmpty() ? "none" : broken,
                broken.isEmpty() ? "" : " BROKEN");
        kept &= broken.isEmpty();
    }

    private void promise(String name, double value, String side, double bound, boolean good) {
        out.printf(Locale.ROOT, "%s: %.4f (promised: %s %.4f)%s%n", name, value, side, bound, good ? "" : " BROKEN");
        kept &= good;
    }

    /** True if no promise was broken so far. */
    public boolean kept() {
        return kept;
    }
}
