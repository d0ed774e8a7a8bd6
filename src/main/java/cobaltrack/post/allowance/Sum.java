package cobaltrack.post.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What all sidecars are asked for, as an office adds it up from what each said last. Pure; one thread; times
 * in milliseconds.
 */
public final class Sum {
    /** What a sidecar said counts for so long. */
    private static final double STANDS = 3000;
    /** Sidecars and, of each, tenants that are kept at most. */
    private static final int NODES_MOST = 4096;
    private static final int TENANTS_MOST = 1024;

    private record Said(double at, List<Use> uses) { }

    private final Map<String, Said> said = new LinkedHashMap<>();

    /** A sidecar says what it is asked for, in place of what it said before. */
    public void say(double now, String node, List<Use> uses) {
        said.values().removeIf(s -> now - s.at() > STANDS);
        if (said.size() < NODES_MOST || said.containsKey(node)) {
            said.put(node, new Said(now, List.copyOf(uses.subList(0, Math.min(uses.size(), TENANTS_MOST)))));
        }
    }

    /** How many sidecars have said something lately. */
    public int nodes() {
        return said.size();
    }

    /** The totals of the tenants that this sidecar named. */
    public List<Use> of(String node) {
        Said own = said.get(node);
        if (own == null) {
            return List.of();
        }
        Map<String, Double> totals = new HashMap<>();
        own.uses().forEach(u -> totals.put(u.tenant(), 0.0));
        for (Said s : said.values()) {
            for (Use u : s.uses()) {
                totals.computeIfPresent(u.tenant(), (t, sum) -> sum + u.perSecond());
            }
        }
        List<Use> list = new ArrayList<>();
        totals.forEach((tenant, sum) -> list.add(new Use(tenant, sum)));
        return list;
    }
}
