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
 * For sidecars of the version before leases: what they are asked for, as a control node adds it up from what each said
 * last. Kept as it changes: with many sidecars, adding it up anew for each that asks would be most of a control node's
 * work. Pure; one thread; times in milliseconds.
 */
public final class DemandTotals {
    /** What a sidecar said counts for so long. */
    private static final double STANDS = 3000;
    /** Sidecars and, of each, tenants that are kept at most. */
    private static final int MAX_NODES = 4096;

    private static final int MAX_TENANTS = 1024;
    /** Up to so many tenants, all are told: one that is asked for elsewhere must not be taken for idle. */
    private static final int MAX_ALL = 256;

    private record Said(double at, List<TenantDemand> uses) {}

    private static final class Total {
        private double perSecond;
        private int tellers;
    }

    private final Map<String, Said> said = new LinkedHashMap<>();
    private final Map<String, Total> totals = new HashMap<>();

    /** A sidecar says what it is asked for, in place of what it said before. */
    public void report(double now, String node, List<TenantDemand> uses) {
        for (Iterator<Said> i = said.values().iterator(); i.hasNext(); ) {
            Said s = i.next();
            if (now - s.at() > STANDS) {
                i.remove();
                count(s, -1);
            }
        }
        if (said.size() < MAX_NODES || said.containsKey(node)) {
            Said s = new Said(now, List.copyOf(uses.subList(0, Math.min(uses.size(), MAX_TENANTS))));
            Said before = said.put(node, s);
            if (before != null) {
                count(before, -1);
            }
            count(s, 1);
        }
    }

    // A total goes with its last teller, so that what rounding leaves does not pile up.
    private void count(Said s, int sign) {
        for (TenantDemand u : s.uses()) {
            Total t = totals.computeIfAbsent(u.tenant(), name -> new Total());
            t.perSecond += sign * u.perSecond();
            t.tellers += sign;
            if (t.tellers == 0) {
                totals.remove(u.tenant());
            }
        }
    }

    /** How many sidecars have said something lately. */
    public int reportingNodes() {
        return said.size();
    }

    /** The totals of all tenants; where these are many, of those that this sidecar named. */
    public List<TenantDemand> totalsFor(String node) {
        Said own = said.get(node);
        if (own == null) {
            return List.of();
        }
        Set<String> named = new HashSet<>();
        own.uses().forEach(u -> named.add(u.tenant()));
        List<TenantDemand> list = new ArrayList<>();
        totals.forEach((tenant, t) -> {
            if (totals.size() <= MAX_ALL || named.contains(tenant)) {
                list.add(new TenantDemand(tenant, Math.max(0, t.perSecond)));
            }
        });
        return list;
    }
}
