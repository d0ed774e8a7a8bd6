package whinlead.mesh.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Total demand by tenant over all sidecars, from the last report of each, for sidecars of the protocol version before
 * leases. The totals are updated incrementally: with many sidecars, adding up all reports for each request would be
 * most of a control node's work. Pure; one thread; times in milliseconds.
 */
public final class DemandTotals {
    /** Age in milliseconds up to which a sidecar's report counts. */
    private static final double REPORT_VALIDITY_MS = 3000;
    /** Limits on the sidecars that are stored, and on the tenants of each. */
    private static final int MAX_SIDECARS = 4096;

    private static final int MAX_TENANTS = 1024;
    /**
     * Up to this many tenants, a sidecar is sent the totals of all of them: a tenant with demand at other sidecars only
     * must not be taken for idle.
     */
    private static final int MAX_ALL_TENANTS = 256;

    private record Report(double receivedAtMs, List<TenantDemand> demands) {}

    private static final class Total {
        private double perSecond;
        private int reporters;
    }

    private final Map<String, Report> reports = new LinkedHashMap<>();
    private final Map<String, Total> totals = new HashMap<>();

    /** Replaces a sidecar's report with a new one. */
    public void report(double nowMs, String sidecar, List<TenantDemand> demands) {
        for (Iterator<Report> iterator = reports.values().iterator(); iterator.hasNext(); ) {
            Report report = iterator.next();
            if (nowMs - report.receivedAtMs() > REPORT_VALIDITY_MS) {
                iterator.remove();
                addToTotals(report, -1);
            }
        }
        if (reports.size() < MAX_SIDECARS || reports.containsKey(sidecar)) {
            Report report = new Report(nowMs, List.copyOf(demands.subList(0, Math.min(demands.size(), MAX_TENANTS))));
            Report previous = reports.put(sidecar, report);
            if (previous != null) {
                addToTotals(previous, -1);
            }
            addToTotals(report, 1);
        }
    }

    // Removes a total with its last report, so that rounding errors don't accumulate.
    private void addToTotals(Report report, int sign) {
        for (TenantDemand demand : report.demands()) {
            Total total = totals.computeIfAbsent(demand.tenant(), name -> new Total());
            total.perSecond += sign * demand.perSecond();
            total.reporters += sign;
            if (total.reporters == 0) {
                totals.remove(demand.tenant());
            }
        }
    }

    /** Number of sidecars with a recent report. */
    public int reportingSidecars() {
        return reports.size();
    }

    /**
     * The totals of all tenants; with more than {@link #MAX_ALL_TENANTS} tenants, only of those that this sidecar has
     * reported.
     */
    public List<TenantDemand> totalsFor(String sidecar) {
        Report ownReport = reports.get(sidecar);
        if (ownReport == null) {
            return List.of();
        }
        Set<String> ownTenants = new HashSet<>();
        ownReport.demands().forEach(demand -> ownTenants.add(demand.tenant()));
        List<TenantDemand> list = new ArrayList<>();
        totals.forEach((tenant, total) -> {
            if (totals.size() <= MAX_ALL_TENANTS || ownTenants.contains(tenant)) {
                list.add(new TenantDemand(tenant, Math.max(0, total.perSecond)));
            }
        });
        return list;
    }
}
