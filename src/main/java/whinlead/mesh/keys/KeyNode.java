package whinlead.mesh.keys;

import java.util.ArrayList;
import java.util.List;

/**
 * A sidecar and the endpoint beside it, as the control node that grants keys knows them by their last report. What was
 * moved lately is not in the report's figures yet, and is reckoned with besides. One thread; times in milliseconds.
 */
final class KeyNode {
    /** For so long what was moved is reckoned with besides the reports. */
    private static final double ADJUSTED_MS = 2000;
    /** From this utilization on it is busy. */
    private static final double BUSY = 0.6;
    /** By how much a report may be late. */
    private static final double REPORT_SLACK_MS = 100;

    private record Adjustment(double until, double places) {}

    private final double knownSince;
    private final List<Adjustment> adjustments = new ArrayList<>();
    private KeyReport report;
    private double reportedAt;
    private double movedAt = Double.NEGATIVE_INFINITY;
    private double busySince = Double.NaN;

    KeyNode(double now) {
        this.knownSince = now;
    }

    boolean isOutdated(KeyReport newer) {
        return report != null && newer.sidecarLife() == report.sidecarLife() && newer.number() <= report.number();
    }

    void report(double now, KeyReport newer) {
        report = newer;
        reportedAt = now;
        if (newer.busyPlaces() < BUSY * capacity()) {
            busySince = Double.NaN;
        } else if (Double.isNaN(busySince)) {
            busySince = now;
        }
    }

    /** Whether it has been busy for so long that all others have reported since. */
    boolean isBusy(double now) {
        return now - busySince >= KeyTerms.REPORT_MS + REPORT_SLACK_MS;
    }

    long sidecarLife() {
        return report.sidecarLife();
    }

    long reportNumber() {
        return report.number();
    }

    String endpoint() {
        return report.endpoint();
    }

    boolean leaving() {
        return report.leaving();
    }

    int capacity() {
        return Math.max(1, report.capacity());
    }

    double reportedAt() {
        return reportedAt;
    }

    double knownSince() {
        return knownSince;
    }

    /** When keys were moved to or from it last. */
    double movedAt() {
        return movedAt;
    }

    /** Its load as last reported, with what was moved since. */
    double busyPlaces(double now) {
        adjustments.removeIf(each -> each.until() <= now);
        double moved = adjustments.stream().mapToDouble(Adjustment::places).sum();
        return Math.max(0, report.busyPlaces() + moved);
    }

    /** The part of its capacity that is taken. */
    double utilization(double now) {
        return busyPlaces(now) / capacity();
    }

    /** Keys with so much load come, or go if that is less than 0. */
    void moved(double now, double places) {
        movedAt = now;
        adjustments.add(new Adjustment(now + ADJUSTED_MS, places));
    }

    /** The load of its keys, in parts, as last reported. */
    List<KeyLoad> loads() {
        return report.loads();
    }

    /** Of its busy places, how many requests of this load take. */
    double places(KeyLoad load) {
        double total = report.loads().stream().mapToDouble(KeyLoad::perSecond).sum();
        return total <= 0 ? 0 : report.busyPlaces() * load.perSecond() / total;
    }
}
