package whinlead.testbed.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What truly became of each request, by its id, over all processes of a fleet and all proxies: where it ran and what
 * callers were told. It asks the program nothing. Times are milliseconds since the day began. For one thread.
 */
public final class FleetLedger {
    private static final class Story {
        private int runs;
        private double firstRun;
        private double refusedAt = Double.NaN;
        private final Set<String> members = new TreeSet<>();
    }

    private final Map<String, Story> stories = new HashMap<>();
    private final Map<String, Integer> broken = new TreeMap<>();
    private final Map<String, Integer> seen = new TreeMap<>();
    private final List<String> cases = new ArrayList<>();

    private Story story(String id) {
        return stories.computeIfAbsent(id, i -> new Story());
    }

    /**
     * An endpoint begins with it.
     *
     * @param window for how long endpoints know a repeated one, 0 for not at all; less than 0 where it may run often
     */
    public void ran(String id, String by, double window, double now) {
        Story s = story(id);
        s.members.add(by);
        if (s.runs++ == 0) {
            s.firstRun = now;
        } else if (window >= 0 && now > s.firstRun + window) {
            broken("run twice", id + " at " + s.firstRun + " and " + now + " by " + s.members);
        }
        if (window == 0 && now > s.refusedAt) {
            broken("run after a refusal", id + " refused at " + s.refusedAt + ", run at " + now + " by " + by);
        }
    }

    /** A caller is told that another try does no harm: nothing ran, or its key is known for a while. */
    public void refused(String id, String by, double window, double now) {
        Story s = story(id);
        s.refusedAt = now;
        if (s.runs > 0 && now >= s.firstRun + window) {
            broken("refused, but ran", id + " by " + by + " at " + now + ", run at " + s.firstRun);
        }
    }

    /** A rule was broken. */
    public void broken(String rule, String how) {
        broken.merge(rule, 1, Integer::sum);
        cases.add(rule + ": " + how);
    }

    /** Something happened that says how hard the day was. */
    public void seen(String what) {
        seen.merge(what, 1, Integer::sum);
    }

    /** Notes in one line what the rig did, among the cases. */
    public void happened(String what) {
        cases.add(what);
    }

    /** How often an endpoint began with it. */
    public int runs(String id) {
        return stories.containsKey(id) ? stories.get(id).runs : 0;
    }

    /** Rules broken, with how often. */
    public Map<String, Integer> broken() {
        return broken;
    }

    /** What happened, with how often. */
    public Map<String, Integer> seen() {
        return seen;
    }

    /** What the rig did and each case of a broken rule, in their order, a line each. */
    public List<String> cases() {
        return cases;
    }
}
