package whinlead.plan.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import whinlead.Contract;
import whinlead.capture.CaptureInput;
import whinlead.capture.Entry;
import whinlead.capture.Summary;
import whinlead.plan.Arrival;
import whinlead.plan.Arrivals;
import whinlead.plan.Fleet;

/**
 * A captured load, played by the planner. Read anew for each run, so its length costs no memory. At so many times the
 * load its time runs so much faster: bursts keep their order and get shorter.
 */
public final class CaptureLoad {
    private static final double MICROS = 1000;
    /** Asked about more than so many times the fullest second of the capture, the answer is far from what was seen. */
    private static final double FAR = 1.5;

    private final Path file;
    private final Summary summary;
    private final int[] kinds;

    /**
     * Reads it through once.
     *
     * @throws IllegalArgumentException with one line if it is no capture, is empty or names a class that the fleet
     *     lacks
     */
    public CaptureLoad(Path file, Fleet fleet) throws IOException {
        this.file = file;
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException(file + ": can't be read");
        }
        try (CaptureInput in = new CaptureInput(Files.newInputStream(file))) {
            summary = Summary.of(in);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
        if (summary.requests() == 0) {
            throw new IllegalArgumentException(file + ": holds no request");
        }
        List<String> known = fleet.settings().classes().stream()
                .map(Contract.RequestClass::name)
                .toList();
        kinds = new int[summary.classes().size()];
        for (int k = 0; k < kinds.length; k++) {
            kinds[k] = known.indexOf(summary.classes().get(k));
            if (kinds[k] < 0 && summary.counts().get(k) > 0) {
                throw new IllegalArgumentException(file + ": the description has no class "
                        + summary.classes().get(k));
            }
        }
    }

    /** What it holds. */
    public Summary summary() {
        return summary;
    }

    /** Milliseconds from its first request to its last, at so many times the load. */
    public double length(double times) {
        return summary.seconds() * 1000 / times;
    }

    /** What is to be said of an answer from it, besides the figures. */
    public List<String> caveats(double times) {
        List<String> lines = new ArrayList<>();
        if (summary.lost() > 0) {
            lines.add(summary.lost() + " of " + (summary.lost() + summary.requests())
                    + " requests are not in the capture: the load is too low by that part.");
        }
        if (summary.jumps() > 0) {
            lines.add("Its clock went back " + summary.jumps() + " times: the load around that is too dense.");
        }
        if (summary.torn()) {
            lines.add("Its last entry was torn and is left out.");
        }
        double mean = summary.requests() / Math.max(1e-3, summary.seconds());
        if (mean * times > FAR * summary.peak()) {
            lines.add("The load asked about is over " + FAR
                    + " times the fullest second that was captured: this is"
                    + " extrapolated.");
        }
        return lines;
    }

    /** Its arrivals at so many times the load; whoever reads it to the end has closed it. */
    public Iterator<Arrival> arrivals(double times) {
        CaptureInput in;
        try {
            in = new CaptureInput(Files.newInputStream(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Arrivals() {
            private long first = -1;

            @Override
            protected Arrival find() {
                try {
                    Entry e = in.next();
                    if (e == null) {
                        in.close();
                        return null;
                    }
                    first = first < 0 ? e.at() : first;
                    return new Arrival((e.at() - first) / MICROS / times, kinds[e.kind()], -1, e.repeat());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
    }
}
