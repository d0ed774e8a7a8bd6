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
 * A captured load for the planner. It is read again for each run, so memory use does not depend on its length. A load
 * factor speeds up its time: bursts keep their order and get shorter.
 */
public final class CaptureLoad {
    private static final double MICROS_PER_MS = 1000;
    /** Above this multiple of the busiest second of the capture, results are extrapolated. */
    private static final double EXTRAPOLATION_FACTOR = 1.5;

    private final Path file;
    private final Summary summary;
    private final int[] fleetClasses;

    /**
     * Reads the whole capture once.
     *
     * @throws IllegalArgumentException with a one-line message if the file is not a capture, is empty or names a class
     *     that the fleet does not have
     */
    public CaptureLoad(Path file, Fleet fleet) throws IOException {
        this.file = file;
        if (!Files.isReadable(file)) {
            throw new IllegalArgumentException(file + ": file can't be read");
        }
        try (CaptureInput in = new CaptureInput(Files.newInputStream(file))) {
            summary = Summary.read(in);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
        if (summary.requests() == 0) {
            throw new IllegalArgumentException(file + ": capture contains no requests");
        }
        List<String> known = fleet.settings().classes().stream()
                .map(Contract.RequestClass::name)
                .toList();
        fleetClasses = new int[summary.classes().size()];
        for (int k = 0; k < fleetClasses.length; k++) {
            fleetClasses[k] = known.indexOf(summary.classes().get(k));
            if (fleetClasses[k] < 0 && summary.requestsByClass().get(k) > 0) {
                throw new IllegalArgumentException(file + ": the description has no class "
                        + summary.classes().get(k));
            }
        }
    }

    /** Summary of the capture. */
    public Summary summary() {
        return summary;
    }

    /** Milliseconds from the first request to the last at a load factor. */
    public double lengthMs(double loadFactor) {
        return summary.durationSeconds() * 1000 / loadFactor;
    }

    /** Caveats for results from this capture at a load factor. */
    public List<String> caveats(double loadFactor) {
        List<String> lines = new ArrayList<>();
        if (summary.lostEntries() > 0) {
            lines.add(summary.lostEntries() + " of " + (summary.lostEntries() + summary.requests())
                    + " requests are not in the capture: the load is too low by that part.");
        }
        if (summary.backwardClockJumps() > 0) {
            lines.add("Its clock went back " + summary.backwardClockJumps()
                    + " times: the load around that is too dense.");
        }
        if (summary.truncated()) {
            lines.add("Its last entry was torn and is left out.");
        }
        double mean = summary.requests() / Math.max(1e-3, summary.durationSeconds());
        if (mean * loadFactor > EXTRAPOLATION_FACTOR * summary.peakRequestsPerSecond()) {
            lines.add("The load asked about is over " + EXTRAPOLATION_FACTOR
                    + " times the fullest second that was captured: this is"
                    + " extrapolated.");
        }
        return lines;
    }

    /** The arrivals at a load factor. The file is closed when the iterator is read to the end. */
    public Iterator<Arrival> arrivals(double loadFactor) {
        CaptureInput in;
        try {
            in = new CaptureInput(Files.newInputStream(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Arrivals() {
            private long first = -1;

            @Override
            protected Arrival findNext() {
                try {
                    Entry e = in.next();
                    if (e == null) {
                        in.close();
                        return null;
                    }
                    first = first < 0 ? e.arrivalMicros() : first;
                    return new Arrival(
                            (e.arrivalMicros() - first) / MICROS_PER_MS / loadFactor,
                            fleetClasses[e.classIndex()],
                            -1,
                            e.repeat());
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        };
    }
}
