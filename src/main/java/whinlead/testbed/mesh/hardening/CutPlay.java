package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.List;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 1: machines are cut off for some twenty seconds while an operator orders and reads at all control nodes, the
 * ones cut off too, and sidecars start. Nothing there may claim contact, confirm, read or refuse wrongly; orders are
 * taken by the others; after the end the newest is soon everywhere. One schedule, one thread.
 */
final class CutPlay {
    private enum Kind {
        BOTH,
        IN,
        OUT,
        HELD_BOTH,
        HELD_IN,
        HELD_OUT,
        FROZEN
    }

    private static final double CUT_AT = 3000;
    private static final double LEAST = 18_000;
    private static final double MOST = 22_000;
    private static final double AFTER = 8000;
    private static final double LOOK = 10;
    private static final int SIDECARS = 6;
    private static final double PATIENCE = 10_000;
    private static final int LARGE = 5;

    private final Core core;
    private final Operators operators;
    private final List<Machine> victims = new ArrayList<>();
    private final Kind kind;
    private final double length;
    private double settledAt = Core.CONTACT;
    private double joinedAt = Double.POSITIVE_INFINITY;
    private long base;
    private boolean doubtful;
    private boolean closing;

    private CutPlay(long seed, Bug bug, Trace trace) {
        core = new Core(seed, bug, trace, seed % 3 == 0 ? LARGE : 3);
        operators = new Operators(core, 0.05, new byte[0]);
        kind = Kind.values()[core.random().nextInt(Kind.values().length)];
        length = core.between(LEAST, MOST);
    }

    /** Plays one. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new CutPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        core.judgeContact();
        double end = CUT_AT + length;
        core.agenda().in(core.between(0, 1000), this::order);
        core.agenda().in(core.between(0, 1000), this::read);
        core.agenda().in(CUT_AT, this::cut);
        core.agenda().in(end, this::join);
        for (int i = 0; i < SIDECARS; i++) {
            int n = i;
            core.agenda().in(core.between(CUT_AT, end + 1500), () -> sidecar("s" + n));
        }
        core.agenda().run(end + AFTER, core.checker()::anyBroken);
        closing = true;
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    if (d == null) {
                        core.checker().broke(m.address() + " can't read, long after the cut's end");
                    }
                }));
        core.agenda().run(end + AFTER + Core.CONVERGE, core.checker()::anyBroken);
        core.checker().judgeHistory();
        return core.checker().outcome();
    }

    private boolean hit(Machine m) {
        return victims.contains(m);
    }

    private void cut() {
        int many = core.machines().size() == LARGE ? 1 + core.random().nextInt(2) : 1;
        while (victims.size() < many) {
            Machine m = core.any();
            if (!hit(m)) {
                victims.add(m);
            }
        }
        boolean together = core.random().nextBoolean();
        core.tell("cut " + kind + " of "
                + victims.stream().map(Machine::address).toList() + (together ? " together" : ""));
        core.checker().count("schedules with a cut, " + kind + " of " + many);
        victims.forEach(v -> core.troubled(v.address()));
        set(
                together,
                switch (kind) {
                    case BOTH, IN -> Network.Way.CUT;
                    case HELD_BOTH, HELD_IN -> Network.Way.HELD;
                    default -> Network.Way.OPEN;
                },
                switch (kind) {
                    case BOTH, OUT -> Network.Way.CUT;
                    case HELD_BOTH, HELD_OUT -> Network.Way.HELD;
                    default -> Network.Way.OPEN;
                });
        if (kind == Kind.FROZEN) {
            victims.forEach(Machine::freeze);
        }
        settledAt = core.now() + Core.CONTACT;
    }

    private void set(boolean together, Network.Way in, Network.Way out) {
        for (Machine v : victims) {
            for (Machine m : core.machines()) {
                if (m != v && !(together && hit(m))) {
                    core.network().set(m.address(), v.address(), in);
                    core.network().set(v.address(), m.address(), out);
                }
            }
        }
    }

    private void join() {
        core.tell("the cut ends");
        set(false, Network.Way.OPEN, Network.Way.OPEN);
        victims.forEach(v -> {
            v.thaw();
            core.eased(v.address());
        });
        joinedAt = core.now();
        settledAt = core.now() + Core.CONTACT;
        long newest = core.checker().acknowledgedBy(core.now());
        double since = core.now();
        await(newest, since);
    }

    private void await(long newest, double since) {
        double took = core.now() - since;
        if (core.machines().stream().allMatch(m -> m.version() >= newest)) {
            core.checker().sample("from the cut's end, ms until the newest is at every control node", took);
        } else if (took > Core.CONVERGE) {
            core.checker().broke("the newest is not at every control node 2.5 s after the cut's end");
        } else {
            core.agenda().in(LOOK, () -> await(newest, since));
        }
    }

    // One order after the other, each on what the last one left.
    private void order() {
        if (closing) {
            return;
        }
        Change c = operators.change(base);
        boolean proper = !doubtful;
        boolean[] over = {false};
        double begunAt = core.now();
        Operators.Order[] order = {null};
        order[0] = operators.order(c, PATIENCE, o -> {
            over[0] = true;
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                if (begunAt >= settledAt) {
                    core.checker().sample("an order, ms to its operator's acknowledgement", core.now() - begunAt);
                    core.checker()
                            .sample(
                                    "an order, ms from a control node in touch to an acknowledgement",
                                    core.checker().acknowledgedAt(c.version()) - order[0].reachedAt());
                }
                converges(c.version());
                base = c.version();
                doubtful = false;
                next();
            } else {
                doubtful = true;
                rebase();
            }
        });
        core.agenda().in(Core.ACK, () -> {
            if (!over[0] && proper) {
                owed(order[0]);
            }
        });
    }

    // After five seconds: while a way is cut it is owed from when it came to a control node in touch.
    private void owed(Operators.Order order) {
        if (order.begunAt() < settledAt || core.now() < settledAt) {
            return;
        }
        if (core.now() > joinedAt) {
            core.checker().broke("an order on top of the newest version was not taken in 5 s of a settled " + "core");
        } else if (Double.isNaN(order.reachedAt())) {
            core.checker().count("orders that came to no control node in touch for 5 s");
        } else {
            core.agenda().in(order.reachedAt() + Core.ACK - core.now(), () -> {
                if (core.now() >= settledAt
                        && core.checker().acknowledgedBy(core.now())
                                < order.change().version()) {
                    core.checker().broke("an order was not taken 5 s after it came to a control node in touch");
                }
            });
        }
    }

    private void next() {
        core.agenda().in(core.between(200, 1500), this::order);
    }

    // What is in force is read before the next order, as long as it takes.
    private void rebase() {
        boolean[] answered = {false};
        operators.read(core.any().address(), d -> {
            if (!answered[0] && d != null) {
                answered[0] = true;
                doubtful = d.version() <= base;
                base = d.version();
                next();
            }
        });
        core.agenda().in(1000, () -> {
            if (!answered[0]) {
                answered[0] = true;
                rebase();
            }
        });
    }

    private void converges(long version) {
        if (core.now() < settledAt) {
            return;
        }
        core.agenda()
                .in(
                        Core.CONVERGE,
                        () -> core.machines().forEach(m -> {
                            if (core.calm(m.address()) && m.version() < version) {
                                core.checker()
                                        .broke(m.address() + " is in touch and does not know version " + version
                                                + " 2.5 s after its acknowledgement");
                            }
                        }));
    }

    private void read() {
        if (!closing) {
            operators.read(
                    core.any().address(),
                    d -> core.checker().count(d == null ? "reads left unclear" : "reads answered"));
            core.agenda().in(core.between(300, 1500), this::read);
        }
    }

    // Its seeds are drawn, and those that are cut off come twice as often.
    private void sidecar(String name) {
        List<String> all =
                new ArrayList<>(core.machines().stream().map(Machine::address).toList());
        List<String> seeds = new ArrayList<>();
        victims.forEach(v -> {
            if (core.random().nextBoolean()) {
                seeds.add(v.address());
            }
        });
        int more = core.random().nextInt(3);
        for (int i = 0; i < more || seeds.isEmpty(); i++) {
            seeds.add(all.get(core.random().nextInt(all.size())));
        }
        // Some reach none but the ones cut off, for a while.
        boolean blocked = core.random().nextInt(3) == 0;
        if (blocked) {
            all.stream()
                    .filter(a -> victims.stream().noneMatch(v -> v.address().equals(a)))
                    .forEach(a -> core.network().set(name, a, Network.Way.CUT));
            core.agenda().in(Core.ACK, () -> all.forEach(a -> core.network().set(name, a, Network.Way.OPEN)));
        }
        new Sidecar(core, name, seeds, blocked ? core.now() + Core.ACK : 0).start();
    }
}
