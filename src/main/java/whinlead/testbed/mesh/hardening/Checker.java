package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import whinlead.mesh.consensus.Decision;
import whinlead.testbed.mesh.hardening.Operation.Change;
import whinlead.testbed.mesh.hardening.Operation.Value;

/**
 * Checks the guarantees: the value of each slot, the operators' history, and what was acknowledged and when. Also
 * collects counts and measurements. Single-threaded.
 */
final class Checker {
    private record Acknowledged(long version, double atMs) {}

    private final Scheduler scheduler;
    private final Trace trace;
    /** False if the planted fault changes the list of accepted changes: then only the history check may detect it. */
    private final boolean comparesTaken;

    private final Map<Long, Decision> chosen = new HashMap<>();
    private final List<Operation> history = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, List<Double>> samples = new TreeMap<>();
    private Decision newest;
    private long votersSlot;

    Checker(Scheduler scheduler, Bug bug, Trace trace) {
        this.scheduler = scheduler;
        this.trace = trace;
        this.comparesTaken = bug != Bug.FORGETS_TAKEN;
    }

    /** Records a violated guarantee. */
    void recordViolation(String what) {
        trace.write(scheduler.nowMs(), "BROKEN " + what);
        violations.add(what);
    }

    /** Whether a guarantee was violated. */
    boolean hasViolations() {
        return !violations.isEmpty();
    }

    /** Counts an occurrence. */
    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** Records a measurement. */
    void sample(String what, double value) {
        samples.computeIfAbsent(what, k -> new ArrayList<>()).add(value);
    }

    /** A control node learned a decision. */
    void decided(Decision decision) {
        Decision other = chosen.putIfAbsent(decision.slot(), decision);
        if (other != null && !same(other, decision)) {
            recordViolation("slot " + decision.slot() + " has two values");
        }
        if (newest == null || decision.slot() > newest.slot()) {
            if (newest == null || !newest.voters().equals(decision.voters())) {
                votersSlot = decision.slot();
            }
            newest = decision;
        }
    }

    private boolean same(Decision a, Decision b) {
        return a.version() == b.version()
                && a.voters().equals(b.voters())
                && Arrays.equals(a.body(), b.body())
                && (!comparesTaken || a.appliedVersions().equals(b.appliedVersions()));
    }

    /** The newest decision that any control node has learned; null before the first. */
    Decision newest() {
        return newest;
    }

    /** The slot of the decision that introduced the current voters. */
    long votersSlot() {
        return votersSlot;
    }

    /** A control node received a call; the change is null for a read. Returns the call's number. */
    int invoked(Change change) {
        history.add(new Operation(change, scheduler.nowMs(), Double.POSITIVE_INFINITY, Operation.End.UNCLEAR, null));
        return history.size() - 1;
    }

    /** The control node ended a call. */
    void ended(int call, Operation.End end, Decision seen) {
        Operation o = history.get(call);
        Value value = seen == null ? null : value(seen);
        history.set(call, new Operation(o.change(), o.fromMs(), scheduler.nowMs(), end, value));
        if (end == Operation.End.TAKEN) {
            acknowledged.add(new Acknowledged(o.change().version(), scheduler.nowMs()));
        }
    }

    /** When a call arrived. */
    double invokedAt(int call) {
        return history.get(call).fromMs();
    }

    private Value value(Decision d) {
        if (d.version() == 0) {
            return Value.NONE;
        }
        String digest = d.appliedVersions().get(d.appliedVersions().size() - 1).digest();
        byte[] begin = digest.getBytes(StandardCharsets.UTF_8);
        if (d.body().length < begin.length || !Arrays.equals(begin, Arrays.copyOf(d.body(), begin.length))) {
            recordViolation("the body of version " + d.version() + " is not the one sent for it");
        }
        return new Value(d.version(), digest);
    }

    /** The newest version acknowledged up to a time. */
    long acknowledgedBy(double timeMs) {
        long newest = 0;
        for (Acknowledged acknowledgement : acknowledged) {
            newest = acknowledgement.atMs() <= timeMs ? Math.max(newest, acknowledgement.version()) : newest;
        }
        return newest;
    }

    /** When a version was first acknowledged; NaN if it never was. */
    double acknowledgedAt(long version) {
        return acknowledged.stream()
                .filter(a -> a.version() == version)
                .mapToDouble(Acknowledged::atMs)
                .min()
                .orElse(Double.NaN);
    }

    /** Checks at the end that the operators' calls are linearizable as one register. */
    void checkHistory() {
        if (hasViolations()) {
            return;
        }
        Operation o = Linearizability.unexplained(history);
        if (o != null) {
            recordViolation("not linearizable: " + o);
        }
    }

    /** The outcome of the schedule. */
    Outcome outcome() {
        return new Outcome(List.copyOf(violations), counts, samples);
    }
}
