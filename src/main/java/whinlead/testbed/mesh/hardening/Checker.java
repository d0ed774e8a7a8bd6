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
 * What is held against the promises: the value of each slot, the operators' history, what was acknowledged and when.
 * Collects figures as well. One thread.
 */
final class Checker {
    private record Acknowledged(long version, double at) {}

    private final Agenda agenda;
    private final Trace trace;
    /** Where the fault that is planted touches what was taken, it is left to the history to find it. */
    private final boolean looksAtTaken;

    private final Map<Long, Decision> chosen = new HashMap<>();
    private final List<Operation> history = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, List<Double>> samples = new TreeMap<>();
    private Decision newest;
    private long votersSlot;

    Checker(Agenda agenda, Bug bug, Trace trace) {
        this.agenda = agenda;
        this.trace = trace;
        this.looksAtTaken = bug != Bug.FORGETS_TAKEN;
    }

    /** A promise was broken. */
    void broke(String what) {
        trace.tell(agenda.now(), "BROKEN " + what);
        broken.add(what);
    }

    /** Whether one was. */
    boolean anyBroken() {
        return !broken.isEmpty();
    }

    /** Something came up. */
    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** Something was measured. */
    void sample(String what, double value) {
        samples.computeIfAbsent(what, k -> new ArrayList<>()).add(value);
    }

    /** A control node learned this. */
    void decided(Decision decision) {
        Decision other = chosen.putIfAbsent(decision.slot(), decision);
        if (other != null && !same(other, decision)) {
            broke("slot " + decision.slot() + " has two values");
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
                && (!looksAtTaken || a.taken().equals(b.taken()));
    }

    /** The newest decision that any control node ever learned; null before the first. */
    Decision newest() {
        return newest;
    }

    /** The slot of the newest decision as of which its voters are those that they are. */
    long votersSlot() {
        return votersSlot;
    }

    /** A control node got a call; null for a read. The call's number. */
    int invoked(Change change) {
        history.add(new Operation(change, agenda.now(), Double.POSITIVE_INFINITY, Operation.End.UNCLEAR, null));
        return history.size() - 1;
    }

    /** The control node ended it. */
    void ended(int call, Operation.End end, Decision seen) {
        Operation o = history.get(call);
        Value value = seen == null ? null : value(seen);
        history.set(call, new Operation(o.change(), o.from(), agenda.now(), end, value));
        if (end == Operation.End.TAKEN) {
            acknowledged.add(new Acknowledged(o.change().version(), agenda.now()));
        }
    }

    /** When a call came. */
    double invokedAt(int call) {
        return history.get(call).from();
    }

    private Value value(Decision d) {
        if (d.version() == 0) {
            return Value.NONE;
        }
        String digest = d.taken().get(d.taken().size() - 1).digest();
        byte[] begin = digest.getBytes(StandardCharsets.UTF_8);
        if (d.body().length < begin.length || !Arrays.equals(begin, Arrays.copyOf(d.body(), begin.length))) {
            broke("the body of version " + d.version() + " is not what was sent under it");
        }
        return new Value(d.version(), digest);
    }

    /** The newest version acknowledged up to a time. */
    long acknowledgedBy(double time) {
        long newest = 0;
        for (Acknowledged a : acknowledged) {
            newest = a.at() <= time ? Math.max(newest, a.version()) : newest;
        }
        return newest;
    }

    /** When a version was first acknowledged; NaN if it never was. */
    double acknowledgedAt(long version) {
        return acknowledged.stream()
                .filter(a -> a.version() == version)
                .mapToDouble(Acknowledged::at)
                .min()
                .orElse(Double.NaN);
    }

    /** Holds the operators' calls against a register, at the end. */
    void judgeHistory() {
        if (anyBroken()) {
            return;
        }
        Operation o = Linearizability.unexplained(history);
        if (o != null) {
            broke("not linearizable: " + o);
        }
    }

    /** What it all came to. */
    Outcome outcome() {
        return new Outcome(List.copyOf(broken), counts, samples);
    }
}
