package whinlead.testbed.mesh.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What the processes of a scale run have used up to a moment, or between two.
 *
 * @param nanos when, or how long
 * @param driver the process that drives the run, its relay included
 * @param letters of the real carrier
 */
record Snapshot(long nanos, Usage carrier, List<Usage> offices, Usage hollow, Usage driver,
        Relay.Counts letters) {
    private static final double NANOS = 1e9;

    /** What was used since then. */
    Snapshot since(Snapshot then) {
        List<Usage> each = new ArrayList<>();
        for (int i = 0; i < offices.size(); i++) {
            each.add(offices.get(i).since(then.offices.get(i)));
        }
        return new Snapshot(nanos - then.nanos, carrier.since(then.carrier), each, hollow.since(then.hollow),
                driver.since(then.driver), letters.since(then.letters));
    }

    double seconds() {
        return nanos / NANOS;
    }

    /** Cores in use by all processes together, as a mean over the span. */
    double cores() {
        return all().mapToDouble(Usage::cpuS).sum() / seconds();
    }

    /** Memory of all processes together, in units of 2^20 bytes. */
    double residentMb() {
        return all().mapToDouble(Usage::residentMb).sum();
    }

    private Stream<Usage> all() {
        return Stream.concat(Stream.of(carrier, hollow, driver), offices.stream());
    }

    /** The busiest office's processor time, in seconds. */
    double officeCpuS() {
        return offices.stream().mapToDouble(Usage::cpuS).max().orElse(0);
    }

    double officeMb() {
        return offices.stream().mapToDouble(Usage::residentMb).max().orElse(0);
    }

    double officeOwnMb() {
        return offices.stream().mapToDouble(Usage::ownMb).max().orElse(0);
    }

    /** Bytes that an office writes, the mean of all. */
    double officeWritten() {
        return offices.stream().mapToLong(Usage::writtenBytes).average().orElse(0);
    }

    double officeRead() {
        return offices.stream().mapToLong(Usage::readBytes).average().orElse(0);
    }

    static long bytes(Map<String, Relay.Count> way) {
        return way.values().stream().mapToLong(Relay.Count::bytes).sum();
    }

    static long letters(Map<String, Relay.Count> way) {
        return way.values().stream().mapToLong(Relay.Count::letters).sum();
    }
}
