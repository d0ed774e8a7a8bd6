package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;

/**
 * A sidecar and the endpoint beside it, as last reported to the control node that grants keys. Load that was moved
 * recently is not yet part of the reports and is added as an adjustment. One thread; times in milliseconds.
 */
final class KeyNode {
    /** How long moved load is added to the reported load. */
    private static final double ADJUSTMENT_MS = 2000;
    /** Utilization from which a node counts as busy. */
    private static final double BUSY_UTILIZATION = 0.6;
    /** Tolerance for late reports. */
    private static final double REPORT_SLACK_MS = 100;

    private record Adjustment(double untilMs, double places) {}

    private final double knownSinceMs;
    private final List<Adjustment> adjustments = new ArrayList<>();
    private KeyReport lastReport;
    private double reportedAtMs;
    private double lastMoveMs = Double.NEGATIVE_INFINITY;
    private double busySinceMs = Double.NaN;

    KeyNode(double nowMs) {
        this.knownSinceMs = nowMs;
    }

    boolean isOutdated(KeyReport newer) {
        return lastReport != null
                && newer.sidecarLife() == lastReport.sidecarLife()
                && newer.number() <= lastReport.number();
    }

    void update(double nowMs, KeyReport newer) {
        lastReport = newer;
        reportedAtMs = nowMs;
        if (newer.busyPlaces() < BUSY_UTILIZATION * capacity()) {
            busySinceMs = Double.NaN;
        } else if (Double.isNaN(busySinceMs)) {
            busySinceMs = nowMs;
        }
    }

    /** Whether it has been busy for long enough that all other nodes have reported since. */
    boolean isBusy(double nowMs) {
        return nowMs - busySinceMs >= KeyTerms.REPORT_INTERVAL_MS + REPORT_SLACK_MS;
    }

    long sidecarLife() {
        return lastReport.sidecarLife();
    }

    long reportNumber() {
        return lastReport.number();
    }

    String endpoint() {
        return lastReport.endpoint();
    }

    boolean isLeaving() {
        return lastReport.leaving();
    }

    int capacity() {
        return Math.max(1, lastReport.capacity());
    }

    double reportedAtMs() {
        return reportedAtMs;
    }

    double knownSinceMs() {
        return knownSinceMs;
    }

    /** When keys were last moved to or from this node. */
    double lastMoveMs() {
        return lastMoveMs;
    }

    /** Its load as last reported, plus the load that was moved since. */
    double busyPlaces(double nowMs) {
        adjustments.removeIf(each -> each.untilMs() <= nowMs);
        double movedPlaces =
                adjustments.stream().mapToDouble(Adjustment::places).sum();
        return Math.max(0, lastReport.busyPlaces() + movedPlaces);
    }

    /** The fraction of its capacity that is in use. */
    double utilization(double nowMs) {
        return busyPlaces(nowMs) / capacity();
    }

    /** Records that keys with this load are moved to this node, or away from it if the load is negative. */
    void recordMove(double nowMs, double places) {
        lastMoveMs = nowMs;
        adjustments.add(new Adjustment(nowMs + ADJUSTMENT_MS, places));
    }

    /** The load of its keys, in parts, as last reported. */
    List<KeyLoad> loads() {
        return lastReport.loads();
    }

    /** How many of its busy places the requests of this load take. */
    double places(KeyLoad load) {
        double total =
                lastReport.loads().stream().mapToDouble(KeyLoad::perSecond).sum();
        return total <= 0 ? 0 : lastReport.busyPlaces() * load.perSecond() / total;
    }
}
