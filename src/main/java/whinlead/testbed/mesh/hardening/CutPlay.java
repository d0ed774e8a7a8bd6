package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.List;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 1: machines are isolated for about 20 s while an operator sends orders and reads to all control nodes,
 * including the isolated ones, and sidecars start. An isolated node must not wrongly claim contact, confirm, read or
 * refuse; the other nodes accept orders; after the cut the newest version soon reaches all. One schedule;
 * single-threaded.
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

    private static final double CUT_AT_MS = 3000;
    private static final double MIN_CUT_MS = 18_000;
    private static final double MAX_CUT_MS = 22_000;
    private static final double AFTER_CUT_MS = 8000;
    private static final double POLL_MS = 10;
    private static final int SIDECARS = 6;
    private static final double ORDER_TIMEOUT_MS = 10_000;
    private static final int LARGE_CORE = 5;

    private final Core core;
    private final Operators operators;
    private final List<Machine> victims = new ArrayList<>();
    private final Kind kind;
    private final double cutLengthMs;
    private double settledAtMs = Core.CONTACT_MS;
    private double rejoinedAtMs = Double.POSITIVE_INFINITY;
    private long baseVersion;
    private boolean baseUncertain;
    private boolean closing;

    private CutPlay(long seed, Bug bug, Trace trace) {
        core = new Core(seed, bug, trace, seed % 3 == 0 ? LARGE_CORE : 3);
        operators = new Operators(core, 0.05, new byte[0]);
        kind = Kind.values()[core.random().nextInt(Kind.values().length)];
        cutLengthMs = core.randomBetween(MIN_CUT_MS, MAX_CUT_MS);
    }

    /** Plays one schedule. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new CutPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        core.checkContact();
        double endMs = CUT_AT_MS + cutLengthMs;
        core.scheduler().schedule(core.randomBetween(0, 1000), this::order);
        core.scheduler().schedule(core.randomBetween(0, 1000), this::read);
        core.scheduler().schedule(CUT_AT_MS, this::cut);
        core.scheduler().schedule(endMs, this::rejoin);
        for (int i = 0; i < SIDECARS; i++) {
            int number = i;
            core.scheduler().schedule(core.randomBetween(CUT_AT_MS, endMs + 1500), () -> startSidecar("s" + number));
        }
        core.scheduler().runUntil(endMs + AFTER_CUT_MS, core.checker()::hasViolations);
        closing = true;
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    if (d == null) {
                        core.checker().recordViolation(m.address() + " can't read 8 s after the end of the cut");
                    }
                }));
        core.scheduler().runUntil(endMs + AFTER_CUT_MS + Core.CONVERGE_MS, core.checker()::hasViolations);
        core.checker().checkHistory();
        return core.checker().outcome();
    }

    private boolean isVictim(Machine m) {
        return victims.contains(m);
    }

    private void cut() {
        int victimCount =
                core.machines().size() == LARGE_CORE ? 1 + core.random().nextInt(2) : 1;
        while (victims.size() < victimCount) {
            Machine m = core.randomMachine();
            if (!isVictim(m)) {
                victims.add(m);
            }
        }
        boolean together = core.random().nextBoolean();
        core.log("cut " + kind + " of " + victims.stream().map(Machine::address).toList()
                + (together ? " together" : ""));
        core.checker().count("schedules with a cut, " + kind + " of " + victimCount);
        victims.forEach(v -> core.faultBegan(v.address()));
        setLinks(
                together,
                switch (kind) {
                    case BOTH, IN -> Network.Link.CUT;
                    case HELD_BOTH, HELD_IN -> Network.Link.HELD;
                    default -> Network.Link.OPEN;
                },
                switch (kind) {
                    case BOTH, OUT -> Network.Link.CUT;
                    case HELD_BOTH, HELD_OUT -> Network.Link.HELD;
                    default -> Network.Link.OPEN;
                });
        if (kind == Kind.FROZEN) {
            victims.forEach(Machine::freeze);
        }
        settledAtMs = core.nowMs() + Core.CONTACT_MS;
    }

    private void setLinks(boolean together, Network.Link in, Network.Link out) {
        for (Machine v : victims) {
            for (Machine m : core.machines()) {
                if (m != v && !(together && isVictim(m))) {
                    core.network().set(m.address(), v.address(), in);
                    core.network().set(v.address(), m.address(), out);
                }
            }
        }
    }

    private void rejoin() {
        core.log("the cut ends");
        setLinks(false, Network.Link.OPEN, Network.Link.OPEN);
        victims.forEach(v -> {
            v.thaw();
            core.faultEnded(v.address());
        });
        rejoinedAtMs = core.nowMs();
        settledAtMs = core.nowMs() + Core.CONTACT_MS;
        long newest = core.checker().acknowledgedBy(core.nowMs());
        double sinceMs = core.nowMs();
        awaitNewest(newest, sinceMs);
    }

    private void awaitNewest(long newest, double sinceMs) {
        double elapsedMs = core.nowMs() - sinceMs;
        if (core.machines().stream().allMatch(m -> m.version() >= newest)) {
            core.checker().sample("from the cut's end, ms until the newest is at every control node", elapsedMs);
        } else if (elapsedMs > Core.CONVERGE_MS) {
            core.checker().recordViolation("the newest is not at every control node 2.5 s after the cut's end");
        } else {
            core.scheduler().schedule(POLL_MS, () -> awaitNewest(newest, sinceMs));
        }
    }

    // Sends one order after the other, each built on the result of the last one.
    private void order() {
        if (closing) {
            return;
        }
        Change c = operators.change(baseVersion);
        boolean baseCertain = !baseUncertain;
        boolean[] ended = {false};
        double begunAtMs = core.nowMs();
        Operators.Order[] order = {null};
        order[0] = operators.order(c, ORDER_TIMEOUT_MS, o -> {
            ended[0] = true;
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                if (begunAtMs >= settledAtMs) {
                    core.checker().sample("an order, ms to its operator's acknowledgement", core.nowMs() - begunAtMs);
                    core.checker()
                            .sample(
                                    "an order, ms from a control node in touch to an acknowledgement",
                                    core.checker().acknowledgedAt(c.version()) - order[0].reachedAtMs());
                }
                checkConvergence(c.version());
                baseVersion = c.version();
                baseUncertain = false;
                scheduleNextOrder();
            } else {
                baseUncertain = true;
                readBase();
            }
        });
        core.scheduler().schedule(Core.ACK_MS, () -> {
            if (!ended[0] && baseCertain) {
                checkAcknowledged(order[0]);
            }
        });
    }

    // Called 5 s after an order began. During a cut, the 5 s count from its arrival at a control node in contact.
    private void checkAcknowledged(Operators.Order order) {
        if (order.begunAtMs() < settledAtMs || core.nowMs() < settledAtMs) {
            return;
        }
        if (core.nowMs() > rejoinedAtMs) {
            core.checker()
                    .recordViolation(
                            "an order on top of the newest version was not taken in 5 s of a settled " + "core");
        } else if (Double.isNaN(order.reachedAtMs())) {
            core.checker().count("orders that came to no control node in touch for 5 s");
        } else {
            core.scheduler().schedule(order.reachedAtMs() + Core.ACK_MS - core.nowMs(), () -> {
                if (core.nowMs() >= settledAtMs
                        && core.checker().acknowledgedBy(core.nowMs())
                                < order.change().version()) {
                    core.checker()
                            .recordViolation(
                                    "an order was not taken 5 s after it reached a control node in contact with a majority");
                }
            });
        }
    }

    private void scheduleNextOrder() {
        core.scheduler().schedule(core.randomBetween(200, 1500), this::order);
    }

    // Reads the version in force before the next order, and repeats that until a read is answered.
    private void readBase() {
        boolean[] answered = {false};
        operators.read(core.randomMachine().address(), d -> {
            if (!answered[0] && d != null) {
                answered[0] = true;
                baseUncertain = d.version() <= baseVersion;
                baseVersion = d.version();
                scheduleNextOrder();
            }
        });
        core.scheduler().schedule(1000, () -> {
            if (!answered[0]) {
                answered[0] = true;
                readBase();
            }
        });
    }

    private void checkConvergence(long version) {
        if (core.nowMs() < settledAtMs) {
            return;
        }
        core.scheduler()
                .schedule(
                        Core.CONVERGE_MS,
                        () -> core.machines().forEach(m -> {
                            if (core.isUndisturbed(m.address()) && m.version() < version) {
                                core.checker()
                                        .recordViolation(m.address() + " is in contact and does not know version "
                                                + version + " 2.5 s after its acknowledgement");
                            }
                        }));
    }

    private void read() {
        if (!closing) {
            operators.read(
                    core.randomMachine().address(),
                    d -> core.checker().count(d == null ? "reads left unclear" : "reads answered"));
            core.scheduler().schedule(core.randomBetween(300, 1500), this::read);
        }
    }

    // The seeds are random; isolated machines are drawn additionally.
    private void startSidecar(String name) {
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
        // Some sidecars reach only the isolated machines for a while.
        boolean blocked = core.random().nextInt(3) == 0;
        if (blocked) {
            all.stream()
                    .filter(a -> victims.stream().noneMatch(v -> v.address().equals(a)))
                    .forEach(a -> core.network().set(name, a, Network.Link.CUT));
            core.scheduler()
                    .schedule(Core.ACK_MS, () -> all.forEach(a -> core.network().set(name, a, Network.Link.OPEN)));
        }
        new Sidecar(core, name, seeds, blocked ? core.nowMs() + Core.ACK_MS : 0).start();
    }
}
