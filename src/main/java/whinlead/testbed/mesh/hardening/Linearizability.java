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
 * Whether a history of calls could have come from one register with compare-and-set, each call at one moment between
 * its begin and its end. Just in time, after Lowe: all states that the register may be in are carried along, and a
 * change takes effect no sooner than a call's end asks for it. A change takes effect once, for versions only rise; so a
 * call without a clear end needs no further mark. Pure.
 */
final class Linearizability {
    /** A state with all before it. Equal ones are the same object. */
    private static final class Node {
        private final Value value;
        private final Node parent;
        private final Map<Value, Node> next = new HashMap<>();

        private Node(Value value, Node parent) {
            this.value = value;
            this.parent = parent;
        }

        private Node to(Value v) {
            return next.computeIfAbsent(v, x -> new Node(x, this));
        }

        private boolean has(Value v) {
            Node n = this;
            while (n.value.version() > v.version()) {
                n = n.parent;
            }
            return n.value.equals(v);
        }
    }

    /** A state, and the calls under way whose answer was right at some moment so far. */
    private record Possible(Node node, Set<Integer> right) {}

    private record Event(double at, boolean end, int of) {}

    private final List<Operation> history;
    /** By the version built on: changes that were begun. */
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
            events.add(new Event(o.from(), false, i));
            if (o.end() != Operation.End.UNCLEAR) {
                events.add(new Event(o.to(), true, i));
            }
        }
        // Of one moment, begins come first: the two may have been the other way round.
        events.sort(Comparator.comparingDouble(Event::at).thenComparing(Event::end));
        possible.add(new Possible(new Node(Value.NONE, null), Set.of()));
        for (Event e : events) {
            Operation o = history.get(e.of());
            if (!e.end()) {
                begin(e.of(), o);
            } else if (!end(e.of(), o)) {
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
        Set<Possible> kept = new LinkedHashSet<>();
        Set<Possible> tried = new HashSet<>();
        possible.forEach(p -> seek(p, i, o, kept, tried));
        underWay.remove(i);
        possible = new LinkedHashSet<>();
        for (Possible p : kept) {
            Set<Integer> right = new HashSet<>(p.right());
            right.remove(i);
            possible.add(new Possible(p.node(), right));
        }
        return !possible.isEmpty();
    }

    private void seek(Possible p, int i, Operation o, Set<Possible> kept, Set<Possible> tried) {
        if (!tried.add(p)) {
            return;
        }
        boolean taken = o.end() == Operation.End.TAKEN;
        if (taken ? p.node().has(o.change().value()) : p.right().contains(i)) {
            kept.add(p);
            return;
        }
        long version = p.node().value.version();
        for (Change c : begun.getOrDefault(version, Set.of())) {
            if (c.version() > version) {
                seek(mark(p.node().to(c.value()), p.right()), i, o, kept, tried);
            }
        }
    }

    // An answer that is right here needs no later moment: it changes nothing.
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
        Value now = node.value;
        return switch (o.end()) {
            case READ -> o.seen().equals(now);
            case MISMATCH ->
                now.version() != o.change().builtOn() && !node.has(o.change().value());
            case OLD -> now.version() == o.change().builtOn() && o.change().version() <= now.version();
            default -> false;
        };
    }
}
