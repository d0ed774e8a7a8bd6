package whinlead.testbed.mesh.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import whinlead.mesh.log.Event;

/**
 * One point of a scale run: a fleet of one size, measured when calm, then with changes of the configuration, then with
 * endpoints replaced. What a change costs is what a span with changes used beyond a calm one, by the changes in it.
 * Figures by name, in the order of the measurement. One thread.
 */
final class Point {
    private static final String LOST = "connections lost by all sidecars";
    private static final String AWAY = "endpoints whose beats stayed away";
    private static final double NANOS = 1e9;
    private static final double MILLIS = 1e3;
    private static final double MB = 1 << 20;
    private static final double PERCENT = 100;
    private static final double MIN_S = 60;
    /** Of a span, the part in which something is set going; the rest sees its end. */
    private static final double ACTIVE = 0.9;
    /** The warming's end in which nothing changes, in seconds. */
    private static final double REST_S = 2;

    private final Sizes sizes;
    private final int controlNodes;
    private final double seconds;
    private final double warmS;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    /**
     * A point.
     *
     * @param seconds length of each of the spans
     * @param warmS seconds before the first of them
     */
    Point(Sizes sizes, int controlNodes, double seconds, double warmS) {
        this.sizes = sizes;
        this.controlNodes = controlNodes;
        this.seconds = seconds;
        this.warmS = warmS;
    }

    /**
     * Whether the run itself disturbed what these figures are of: it did not keep its connections or its beats, as
     * where the machine is too busy. No cost of the mesh at that size.
     */
    static boolean disturbed(Map<String, Double> figures) {
        return figures.getOrDefault(LOST, 0.0) > 0 || figures.getOrDefault(AWAY, 0.0) > 0;
    }

    /** Measures it. */
    Map<String, Double> measure() throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.start(sizes, controlNodes)) {
            warm(fleet);
            int lost = fleet.count(Event.CONTROL_NODE_DOWN);
            int silent = fleet.silent();
            Snapshot calm = calm(fleet);
            if (sizes.changesPerMin() > 0) {
                changes(fleet, calm);
            }
            if (sizes.endpointRecordsPerMin() > 0) {
                records(fleet, calm);
            }
            figures.put("sidecar, heap in use, MB", fleet.sidecarHeap() / MB);
            figures.put("control node, heap in use, MB", fleet.controlNodeHeap() / MB);
            figures.put(LOST, (double) fleet.count(Event.CONTROL_NODE_DOWN) - lost);
            figures.put(AWAY, (double) fleet.silent() - silent);
        }
        return figures;
    }

    // All that is measured later is done before: a JVM compiles what runs often, and that costs as well.
    private void warm(Fleet fleet) throws IOException, InterruptedException {
        long end = System.nanoTime() + (long) (warmS * NANOS);
        fleet.replaceEndpointRecords(sizes.endpointRecordsPerMin());
        while (sizes.changesPerMin() > 0 && System.nanoTime() < end - REST_S * NANOS) {
            fleet.change();
            sleepUntil(System.nanoTime() + (long) (MIN_S / sizes.changesPerMin() * NANOS));
        }
        fleet.replaceEndpointRecords(0);
        sleepUntil(end);
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    }

    private Snapshot calm(Fleet fleet) throws IOException, InterruptedException {
        Snapshot before = fleet.snapshot();
        sleepUntil(before.nanos() + (long) (seconds * NANOS));
        Snapshot calm = fleet.snapshot().since(before);
        String name = "calm, ";
        double s = calm.seconds();
        figures.put(name + "sidecar, % of a core", calm.sidecar().cpuS() / s * PERCENT);
        figures.put(name + "sidecar, MB", calm.sidecar().residentMb());
        figures.put(name + "sidecar, MB of its own", calm.sidecar().ownMb());
        figures.put(name + "sidecar, bytes/s in", Snapshot.bytes(calm.messages().fromControlNodes()) / s);
        figures.put(
                name + "sidecar, bytes/s out", Snapshot.bytes(calm.messages().toControlNodes()) / s);
        figures.put(
                name + "sidecar, messages/s in",
                Snapshot.messages(calm.messages().fromControlNodes()) / s);
        figures.put(
                name + "sidecar, messages/s out",
                Snapshot.messages(calm.messages().toControlNodes()) / s);
        calm.messages()
                .fromControlNodes()
                .forEach((kind, c) -> figures.put(name + "messages/s in, " + kind, c.messages() / s));
        calm.messages()
                .toControlNodes()
                .forEach((kind, c) -> figures.put(name + "messages/s out, " + kind, c.messages() / s));
        figures.put(name + "control node, % of a core", calm.controlNodeCpuS() / s * PERCENT);
        figures.put(name + "control node, MB", calm.controlNodeMb());
        figures.put(name + "control node, MB of its own", calm.controlNodeOwnMb());
        figures.put(name + "control node, bytes/s in", calm.controlNodeRead() / s);
        figures.put(name + "control node, bytes/s out", calm.controlNodeWritten() / s);
        run(name, calm);
        return calm;
    }

    private void run(String name, Snapshot span) {
        figures.put(name + "all processes, cores", span.cores());
        figures.put(name + "all processes, MB", span.residentMb());
    }

    private void changes(Fleet fleet, Snapshot calm) throws IOException, InterruptedException {
        int most = Math.max(1, (int) (seconds * ACTIVE * sizes.changesPerMin() / MIN_S));
        long every = (long) (MIN_S / sizes.changesPerMin() * NANOS);
        Map<Long, Long> acknowledged = new LinkedHashMap<>();
        List<Double> orders = new ArrayList<>();
        int refused = 0;
        Snapshot before = fleet.snapshot();
        for (int i = 0; i < most; i++) {
            sleepUntil(before.nanos() + i * every);
            long sent = System.nanoTime();
            long at = fleet.change();
            if (at > 0) {
                acknowledged.put(fleet.version(), at);
                orders.add((at - sent) / NANOS * MILLIS);
            } else {
                refused++;
            }
        }
        sleepUntil(before.nanos() + (long) (seconds * NANOS));
        Snapshot span = fleet.snapshot().since(before);
        long last = fleet.version();
        Fleet.until("the last change is in force", () -> fleet.inForce(last).size() >= sizes.sidecars());
        String name = "changes, ";
        costs(name + "each, ", span, calm, acknowledged.size());
        figures.put(name + "sidecar, % of a core", span.sidecar().cpuS() / span.seconds() * PERCENT);
        figures.put(name + "sidecar, MB", span.sidecar().residentMb());
        figures.put(name + "control node, % of a core", span.controlNodeCpuS() / span.seconds() * PERCENT);
        figures.put(name + "control node, MB", span.controlNodeMb());
        figures.put(name + "taken", (double) acknowledged.size());
        figures.put(name + "not taken", (double) refused);
        figures.put(name + "order to acknowledgement, median ms", median(orders));
        figures.put(name + "order to acknowledgement, worst ms", Collections.max(orders));
        times(fleet, acknowledged);
        run(name, span);
    }

    private void times(Fleet fleet, Map<Long, Long> acknowledged) throws IOException {
        List<Double> medians = new ArrayList<>();
        List<Double> last = new ArrayList<>();
        int skipped = 0;
        for (Map.Entry<Long, Long> e : acknowledged.entrySet()) {
            List<Double> ms = new ArrayList<>();
            fleet.inForce(e.getKey()).forEach(t -> ms.add((t - e.getValue()) / NANOS * MILLIS));
            skipped += sizes.sidecars() - ms.size();
            if (!ms.isEmpty()) {
                medians.add(median(ms));
                last.add(Collections.max(ms));
            }
        }
        figures.put("changes, in force at half of the sidecars, median ms", median(medians));
        figures.put("changes, in force at all sidecars, median ms", median(last));
        figures.put("changes, in force at all sidecars, worst ms", Collections.max(last));
        figures.put("changes, overtaken by the next at a sidecar", (double) skipped);
    }

    private void records(Fleet fleet, Snapshot calm) throws IOException, InterruptedException {
        int had = fleet.replaced();
        Snapshot before = fleet.snapshot();
        fleet.replaceEndpointRecords(sizes.endpointRecordsPerMin());
        sleepUntil(before.nanos() + (long) (seconds * ACTIVE * NANOS));
        fleet.replaceEndpointRecords(0);
        sleepUntil(before.nanos() + (long) (seconds * NANOS));
        Snapshot span = fleet.snapshot().since(before);
        int replaced = fleet.replaced() - had;
        costs("endpoint records, each, ", span, calm, replaced);
        figures.put("endpoint records, sidecar, % of a core", span.sidecar().cpuS() / span.seconds() * PERCENT);
        figures.put("endpoint records, control node, % of a core", span.controlNodeCpuS() / span.seconds() * PERCENT);
        figures.put("endpoint records, changed", (double) replaced);
        run("endpoint records, ", span);
    }

    private void costs(String name, Snapshot span, Snapshot calm, int count) {
        double s = span.seconds() / calm.seconds();
        double of = Math.max(1, count);
        figures.put(
                name + "sidecar, ms of a core",
                (span.sidecar().cpuS() - calm.sidecar().cpuS() * s) * MILLIS / of);
        figures.put(
                name + "sidecar, bytes in",
                (Snapshot.bytes(span.messages().fromControlNodes())
                                - Snapshot.bytes(calm.messages().fromControlNodes()) * s)
                        / of);
        figures.put(
                name + "sidecar, bytes out",
                (Snapshot.bytes(span.messages().toControlNodes())
                                - Snapshot.bytes(calm.messages().toControlNodes()) * s)
                        / of);
        span.messages().fromControlNodes().forEach((kind, c) -> {
            Relay.Count less = calm.messages().fromControlNodes().get(kind);
            figures.put(name + "messages in, " + kind, (c.messages() - (less == null ? 0 : less.messages() * s)) / of);
        });
        figures.put(
                name + "control node, ms of a core",
                (span.controlNodeCpuS() - calm.controlNodeCpuS() * s) * MILLIS / of);
        figures.put(name + "control node, bytes in", (span.controlNodeRead() - calm.controlNodeRead() * s) / of);
        figures.put(name + "control node, bytes out", (span.controlNodeWritten() - calm.controlNodeWritten() * s) / of);
    }

    static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int n = sorted.size();
        return n == 0 ? Double.NaN : (sorted.get((n - 1) / 2) + sorted.get(n / 2)) / 2;
    }
}
