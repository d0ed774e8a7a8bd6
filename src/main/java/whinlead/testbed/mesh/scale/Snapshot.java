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
 * @param messages of the real sidecar
 */
record Snapshot(
        long nanos, Usage sidecar, List<Usage> controlNodes, Usage hollow, Usage driver, Relay.Counts messages) {
    private static final double NANOS = 1e9;

    /** What was used since then. */
    Snapshot since(Snapshot then) {
        List<Usage> each = new ArrayList<>();
        for (int i = 0; i < controlNodes.size(); i++) {
            each.add(controlNodes.get(i).since(then.controlNodes.get(i)));
        }
        return new Snapshot(
                nanos - then.nanos,
                sidecar.since(then.sidecar),
                each,
                hollow.since(then.hollow),
                driver.since(then.driver),
                messages.since(then.messages));
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
        return Stream.concat(Stream.of(sidecar, hollow, driver), controlNodes.stream());
    }

    /** The busiest control node's processor time, in seconds. */
    double controlNodeCpuS() {
        return controlNodes.stream().mapToDouble(Usage::cpuS).max().orElse(0);
    }

    double controlNodeMb() {
        return controlNodes.stream().mapToDouble(Usage::residentMb).max().orElse(0);
    }

    double controlNodeOwnMb() {
        return controlNodes.stream().mapToDouble(Usage::ownMb).max().orElse(0);
    }

    /** Bytes that a control node writes, the mean of all. */
    double controlNodeWritten() {
        return controlNodes.stream().mapToLong(Usage::writtenBytes).average().orElse(0);
    }

    double controlNodeRead() {
        return controlNodes.stream().mapToLong(Usage::readBytes).average().orElse(0);
    }

    static long bytes(Map<String, Relay.Count> way) {
        return way.values().stream().mapToLong(Relay.Count::bytes).sum();
    }

    static long messages(Map<String, Relay.Count> way) {
        return way.values().stream().mapToLong(Relay.Count::messages).sum();
    }
}
