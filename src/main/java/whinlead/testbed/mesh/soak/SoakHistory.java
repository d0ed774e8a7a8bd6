package whinlead.testbed.mesh.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What clients and endpoints saw, and whether it keeps to the rules: nothing that may not be repeated runs twice, what
 * was refused never runs, what was served has run, no request that ran is left without an answer around planned work,
 * and a tenant gets no more than its limit over all sidecars together. Times in milliseconds. For any thread.
 */
public final class SoakHistory {
    private static final int OK = 200;
    private static final int NO_ANSWER = 0;
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);
    /** A kill excuses what is lost so long before and after it. */
    private static final double KILL_SPAN_MS = 1500;

    /**
     * One request.
     *
     * @param tenant whose it is
     * @param status of the answer, or 0 for none
     */
    public record Asked(String id, String tenant, boolean repeatable, double sentAt, double endedAt, int status) {}

    /** An endpoint ran a request. */
    public record Ran(String id, double at) {}

    /**
     * A tenant's limit, as the rules have it.
     *
     * @param windowMs over which requests are counted
     * @param allowed the most in a window
     */
    public record Limit(String tenant, double windowMs, double allowed) {}

    private final Queue<Asked> asked = new ConcurrentLinkedQueue<>();
    private final Queue<Ran> ran = new ConcurrentLinkedQueue<>();
    private final Queue<Double> kills = new ConcurrentLinkedQueue<>();

    /** A request has ended. */
    public void asked(Asked request) {
        asked.add(request);
    }

    /** An endpoint began to run a request. */
    public void ran(Ran run) {
        ran.add(run);
    }

    /** A process was killed, or the test kept it from ending in order. */
    public void killed(double at) {
        kills.add(at);
    }

    /** How many requests were asked. */
    public int requests() {
        return asked.size();
    }

    /** How many of them were served. */
    public long served() {
        return asked.stream().filter(each -> each.status() == OK).count();
    }

    /** What breaks the rules, a line each; empty if nothing does. */
    public List<String> broken(Limit limit) {
        Map<String, Integer> runs = new HashMap<>();
        ran.forEach(run -> runs.merge(run.id(), 1, Integer::sum));
        List<String> broken = new ArrayList<>();
        for (Asked each : asked) {
            int count = runs.getOrDefault(each.id(), 0);
            if (!each.repeatable() && count > 1) {
                broken.add("TWICE: " + each + " ran " + count + " times");
            }
            if (!each.repeatable() && PROMISES.contains(each.status()) && count > 0) {
                broken.add("REFUSED: " + each + " ran");
            }
            if (each.status() == OK && count == 0) {
                broken.add("MIXED: " + each + " never ran");
            }
            if (each.status() == NO_ANSWER && count > 0 && !isExcused(each)) {
                broken.add("LOST: " + each);
            }
        }
        checkLimit(limit, broken);
        return broken;
    }

    private boolean isExcused(Asked request) {
        return kills.stream()
                .anyMatch(at -> at > request.sentAt() - KILL_SPAN_MS && at < request.endedAt() + KILL_SPAN_MS);
    }

    /** The most requests of the limit's tenant that were sent and ran in any window. */
    public int mostInWindow(Limit limit) {
        Map<String, Double> sentAt = new HashMap<>();
        asked.stream()
                .filter(each -> each.tenant().equals(limit.tenant()))
                .forEach(each -> sentAt.put(each.id(), each.sentAt()));
        // Each request once: by when it first ran.
        Map<String, Double> firstRun = new HashMap<>();
        ran.stream()
                .filter(run -> sentAt.containsKey(run.id()))
                .forEach(run -> firstRun.merge(run.id(), run.at(), Math::min));
        List<String> ids = List.copyOf(firstRun.keySet());
        double[] starts = ids.stream().mapToDouble(sentAt::get).sorted().toArray();
        return Arrays.stream(starts)
                .mapToInt(start -> (int) ids.stream()
                        .filter(id -> sentAt.get(id) >= start && firstRun.get(id) <= start + limit.windowMs())
                        .count())
                .max()
                .orElse(0);
    }

    private void checkLimit(Limit limit, List<String> broken) {
        int most = mostInWindow(limit);
        if (most > limit.allowed()) {
            broken.add(
                    "QUOTA: " + most + " requests of " + limit.tenant() + " in a window, allowed " + limit.allowed());
        }
    }
}
