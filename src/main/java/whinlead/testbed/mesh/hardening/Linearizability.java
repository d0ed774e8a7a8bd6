package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import whinlead.testbed.mesh.hardening.Operation.Change;
import whinlead.testbed.mesh.hardening.Operation.Value;

/**
 * Checks whether a history of calls is linearizable as one register with compare-and-set. Uses Lowe's just-in-time
 * linearization: all possible states of the register are tracked, and a change takes effect only when the end of a call
 * requires it. Versions only rise, so a change takes effect at most once, and a call without a clear end needs no
 * further mark. Pure.
 */
final class Linearizability {
    /** A state with all its predecessors. Equal states are the same object. */
    private static final class Node {
        private final Value value;
        private final Node parent;
        private final Map<Value, Node> next = new HashMap<>();

        private Node(Value value, Node parent) {
            this.value = value;
            this.parent = parent;
        }

        private Node child(Value v) {
            return next.computeIfAbsent(v, x -> new Node(x, this));
        }

        private boolean contains(Value v) {
            Node n = this;
            while (n.value.version() > v.version()) {
                n = n.parent;
            }
            return n.value.equals(v);
        }
    }

    /** A state, and the outstanding calls whose answer was correct at some moment so far. */
    private record Possible(Node node, Set<Integer> right) {}

    private record Event(double atMs, boolean end, int call) {}

    private final List<Operation> history;
    /** Changes that were begun, by the version that they build on. */
    private final Map<Long, Set<Change>> begun = new HashMap<>();

    private final Set<Integer> underWay = new LinkedHashSet<>();
    private Set<Possible> possible = new LinkedHashSet<>();

    private Linearizability(List<Operation> history) {
        this.history = history;
    }

    /** The first call whose end can't be explained, or null if all can. */
    static Operation unexplained(List<Operation> history) {
        return new Linearizability(history).run();
    }

    private Operation run() {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < history.size(); i++) {
            Operation o = history.get(i);
            events.add(new Event(o.fromMs(), false, i));
            if (o.end() != Operation.End.UNCLEAR) {
                events.add(new Event(o.toMs(), true, i));
            }
        }
        // At the same time begins come first, since the calls may have overlapped.
        events.sort(Comparator.comparingDouble(Event::atMs).thenComparing(Event::end));
        possible.add(new Possible(new Node(Value.NONE, null), Set.of()));
        for (Event e : events) {
            Operation o = history.get(e.call());
            if (!e.end()) {
                begin(e.call(), o);
            } else if (!end(e.call(), o)) {
                return o;
            }
        }
        return null;
    }

    private void begin(int i, Operation o) {
        boolean changes = o.change() != null && (o.end() == Operation.End.TAKEN || o.end() == Operation.End.UNCLEAR);
        if (changes) {
            begun.computeIfAbsent(o.change().builtOn(), k -> new LinkedHashSet<>())
                    .add(o.change());
        } else if (o.end() != Operation.End.UNCLEAR) {
            underWay.add(i);
            Set<Possible> marked = new LinkedHashSet<>();
            possible.forEach(p -> marked.add(mark(p.node(), p.right())));
            possible = marked;
        }
    }

    private boolean end(int i, Operation o) {
        Set<Possible> remaining = new LinkedHashSet<>();
        Set<Possible> tried = new HashSet<>();
        possible.forEach(p -> search(p, i, o, remaining, tried));
        underWay.remove(i);
        possible = new LinkedHashSet<>();
        for (Possible p : remaining) {
            Set<Integer> right = new HashSet<>(p.right());
            right.remove(i);
            possible.add(new Possible(p.node(), right));
        }
        return !possible.isEmpty();
    }

    private void search(Possible p, int i, Operation o, Set<Possible> remaining, Set<Possible> tried) {
        if (!tried.add(p)) {
            return;
        }
        boolean taken = o.end() == Operation.End.TAKEN;
        if (taken ? p.node().contains(o.change().value()) : p.right().contains(i)) {
            remaining.add(p);
            return;
        }
        long version = p.node().value.version();
        for (Change c : begun.getOrDefault(version, Set.of())) {
            if (c.version() > version) {
                search(mark(p.node().child(c.value()), p.right()), i, o, remaining, tried);
            }
        }
    }

    // An answer that is correct here needs no later moment, since it changes nothing.
    private Possible mark(Node node, Set<Integer> right) {
        Set<Integer> all = new HashSet<>(right);
        for (int i : underWay) {
            if (!all.contains(i) && fits(history.get(i), node)) {
                all.add(i);
            }
        }
        return new Possible(node, all);
    }

    private static boolean fits(Operation o, Node node) {
        Value current = node.value;
        return switch (o.end()) {
            case READ -> o.seen().equals(current);
            case MISMATCH ->
                current.version() != o.change().builtOn()
                        && !node.contains(o.change().value());
            case OLD -> current.version() == o.change().builtOn() && o.change().version() <= current.version();
            default -> false;
        };
    }
}
