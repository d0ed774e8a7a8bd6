package whinlead.testbed.mesh.hardening;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import whinlead.mesh.consensus.Decision;

/**
 * Losses within a budget. A machine counts as lost from the trouble's begin until a distance after its return; one that
 * is replaced, until a distance after its successor's start. One thread.
 */
final class Faults {
    /** What befalls a machine. */
    enum Kind {
        /** The process ends and is started again. */
        KILLED,
        /** The disk goes with it. */
        WIPED,
        /** It stands still and goes on. */
        FROZEN,
        /** Nothing reaches it or leaves it. */
        CUT,
        /** Nothing reaches it. */
        DEAF,
        /** Nothing that it says arrives. */
        MUTE,
        /** What reaches it and leaves it is held back and comes all at once. */
        HELD,
        /** Its disk takes 30 times as long. */
        SLOW_DISK,
        /** Its disk hangs. */
        STALLED_DISK,
        /** Its disk refuses writes. */
        FULL_DISK,
        /** It goes for good without a word; another comes later. */
        REPLACED,
        /** Another comes first, then it is told to leave. */
        REPLACED_AS_PLANNED
    }

    private static final double LEAST = 300;
    private static final double MOST = 6000;
    private static final double MAX_RESTART = 2000;
    private static final double SLOW = 30;
    /** One machine in so many that come back finds its disk full for a while. */
    private static final int FULL_TOO = 4;
    /** One that was told to leave ends by itself after so long: {@code GraceS}, less what it keeps. */
    private static final double GRACE = 5200;
    /** Between a new machine's start and the old one's SIGTERM, at most, in milliseconds. */
    private static final double MAX_HANDOVER = 2000;
    /** Between two looks, in milliseconds. */
    private static final double LOOK = 25;
    /** A successor without a vote for so long is not waited for, in milliseconds. */
    private static final double UNSEATED = 20_000;
    /** Every process of the core may end at once and is back within this, in milliseconds. */
    private static final double POWER_BACK = 1000;

    /** A planned replacement that is measured until the next loss. */
    private record Replacement(Machine old, double startedAt, double toldAt, int struck) {}

    private final Core core;
    private final int budget;
    private final double distance;
    private final Map<String, Double> lostUntil = new HashMap<>();
    private final Map<String, Double> young = new HashMap<>();
    private int newcomers;
    private int strikes;
    private int occupied;

    /**
     * Losses.
     *
     * @param budget machines that may be lost at once
     * @param distance after a machine's return it counts as lost for so long, in milliseconds
     */
    Faults(Core core, int budget, double distance) {
        this.core = core;
        this.budget = budget;
        this.distance = distance;
    }

    /** Whether one more may be lost now. */
    boolean may() {
        return losses() < budget;
    }

    /** So many losses of the budget are taken by trouble that is no machine's own, as a cut pair's is. */
    void occupy(int losses) {
        occupied = losses;
    }

    /** How many machines count as lost now. */
    int losses() {
        return (int) lostUntil.values().stream().filter(t -> t > core.now()).count();
    }

    /** Whether nothing is lost. */
    boolean whole() {
        return lostUntil.values().stream().noneMatch(t -> t > core.now());
    }

    /** Whether this machine's trouble lasts. */
    boolean out(String address) {
        return lostUntil.getOrDefault(address, 0.0) == Double.POSITIVE_INFINITY;
    }

    /** Whether this machine counts as lost. */
    boolean lost(String address) {
        return lostUntil.getOrDefault(address, 0.0) > core.now() || young.getOrDefault(address, 0.0) > core.now();
    }

    /** Brings it upon a machine, for a drawn time. */
    void strike(Machine m, Kind kind) {
        strike(m, kind, core.between(LEAST, MOST));
    }

    /** Brings it upon a machine, for so long where it passes by itself. */
    void strike(Machine m, Kind kind, double lasts) {
        if (core.traced()) {
            core.tell(m.address() + " strikes: " + kind);
        }
        core.checker().count("losses");
        core.checker().count("losses, " + kind);
        strikes++;
        lose(m.address());
        switch (kind) {
            case KILLED, WIPED -> {
                if (kind == Kind.WIPED) {
                    m.wipe();
                } else {
                    m.down();
                }
                core.agenda().in(Math.min(lasts, MAX_RESTART), () -> {
                    m.boot();
                    if (core.random().nextInt(FULL_TOO) == 0) {
                        m.disk().refuse(true);
                        passes(
                                m,
                                core.between(LEAST, MAX_RESTART),
                                () -> m.disk().refuse(false));
                    } else {
                        back(m.address());
                    }
                });
            }
            case FROZEN -> {
                m.freeze();
                passes(m, lasts, m::thaw);
            }
            case CUT -> ways(m, lasts, Network.Way.CUT, Network.Way.CUT);
            case DEAF -> ways(m, lasts, Network.Way.CUT, Network.Way.OPEN);
            case MUTE -> ways(m, lasts, Network.Way.OPEN, Network.Way.CUT);
            case HELD -> ways(m, lasts, Network.Way.HELD, Network.Way.HELD);
            case SLOW_DISK -> {
                m.disk().slow(SLOW);
                passes(m, lasts, () -> m.disk().slow(1));
            }
            case STALLED_DISK -> {
                m.disk().stall(core.now() + lasts);
                passes(m, lasts, () -> {});
            }
            case FULL_DISK -> {
                m.disk().refuse(true);
                passes(m, lasts, () -> m.disk().refuse(false));
            }
            case REPLACED -> {
                core.remove(m);
                double removedAt = core.now();
                core.agenda().in(Math.min(lasts, MAX_RESTART), () -> {
                    measureSeat(newcomer(), m, removedAt, core.now());
                    back(m.address());
                });
            }
            case REPLACED_AS_PLANNED -> replaceAsPlanned(m);
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    private void lose(String address) {
        lostUntil.put(address, Double.POSITIVE_INFINITY);
        core.troubled(address);
    }

    private void back(String address) {
        lostUntil.put(address, core.now() + distance);
        core.eased(address);
        core.tell(address + " has its trouble behind it");
    }

    private void passes(Machine m, double lasts, Runnable over) {
        core.agenda().in(lasts, () -> {
            over.run();
            back(m.address());
        });
    }

    private void ways(Machine m, double lasts, Network.Way in, Network.Way out) {
        List<String> others = core.machines().stream()
                .map(Machine::address)
                .filter(a -> !a.equals(m.address()))
                .toList();
        others.forEach(a -> {
            core.network().set(a, m.address(), in);
            core.network().set(m.address(), a, out);
        });
        passes(
                m,
                lasts,
                () -> others.forEach(a -> {
                    core.network().set(a, m.address(), Network.Way.OPEN);
                    core.network().set(m.address(), a, Network.Way.OPEN);
                }));
    }

    // It counts as lost for a while as well, with the one whose place it takes: no trouble of its own.
    private Machine newcomer() {
        Machine m = core.add("n" + ++newcomers, null);
        core.troubled(m.address());
        core.eased(m.address());
        young.put(m.address(), core.now() + distance);
        return m;
    }

    private void replaceAsPlanned(Machine old) {
        double startedAt = core.now();
        newcomer();
        core.agenda().in(core.between(0, MAX_HANDOVER), () -> {
            lostUntil.put(old.address(), Math.max(startedAt + distance, core.now()));
            core.eased(old.address());
            core.tell(old.address() + " is told to leave");
            double toldAt = core.now();
            old.leave();
            await(old, toldAt, toldAt + GRACE);
            Replacement replacement = new Replacement(old, startedAt, toldAt, strikes);
            measure(replacement, "a core that bears the next loss", this::bears);
            measure(
                    replacement,
                    "voters of whom any quorum left after the next loss has the newest",
                    this::anyRestKnows);
        });
    }

    private void await(Machine old, double toldAt, double until) {
        if (core.at(old.address()) != old) {
            return;
        }
        if (old.left() || core.now() >= until) {
            core.checker()
                    .count(old.left() ? "members that left by agreement" : "members that left when their time was up");
            core.checker().sample("a member that was told to leave, ms to its end", core.now() - toldAt);
            core.remove(old);
        } else {
            core.agenda().in(LOOK, () -> await(old, toldAt, until));
        }
    }

    // An unplanned replacement: until the successor has a vote and the one that is gone has none.
    private void measureSeat(Machine young, Machine old, double removedAt, double startedAt) {
        Decision newest = core.checker().newest();
        boolean done = newest != null
                && newest.voters().contains(young.id())
                && !newest.voters().contains(old.id());
        if (done) {
            core.checker()
                    .sample("an unplanned replacement, ms from the loss to the new voters", core.now() - removedAt);
            core.checker()
                    .sample(
                            "an unplanned replacement, ms from the new one's start to the new voters",
                            core.now() - startedAt);
        } else if (core.at(young.address()) != young || core.now() - startedAt > UNSEATED) {
            core.checker().count("unplanned replacements that were overtaken");
        } else {
            core.agenda().in(LOOK, () -> measureSeat(young, old, removedAt, startedAt));
        }
    }

    private void measure(Replacement r, String state, BooleanSupplier reached) {
        if (strikes != r.struck() || lostUntil.containsValue(Double.POSITIVE_INFINITY)) {
            core.checker().count("planned replacements that another loss overtook before " + state);
            return;
        }
        if (core.now() - r.startedAt() > Core.SYNC + GRACE) {
            core.checker()
                    .broke(state + ": not long after a planned replacement, of "
                            + r.old().address());
            return;
        }
        if (!core.checker().newest().voters().contains(r.old().id()) && reached.getAsBoolean()) {
            core.checker()
                    .sample(
                            "a planned replacement, ms from the new one's start to " + state,
                            core.now() - r.startedAt());
            core.checker().sample("a planned replacement, ms from SIGTERM to " + state, core.now() - r.toldAt());
            return;
        }
        core.agenda().in(LOOK, () -> measure(r, state, reached));
    }

    // Any of the voters may go, as many as the budget still has room for, and the rest decides and knows
    // all.
    private boolean bears() {
        List<String> voters = core.checker().newest().voters();
        long slot = core.checker().newest().slot();
        long able = voters.stream().filter(e -> holds(e, slot)).count();
        return able - (budget - occupied) >= voters.size() / 2 + 1;
    }

    // Any of the voters may go, as many as the budget has room for: a quorum is left that knows who votes,
    // and one of it has the newest on disk. Where decisions follow each other fast, all disks hardly ever hold
    // the newest at the same moment, and nobody needs them to.
    private boolean anyRestKnows() {
        List<String> voters = core.checker().newest().voters();
        long informed = voters.stream()
                .filter(e -> holds(e, core.checker().votersSlot()))
                .count();
        long current = voters.stream()
                .filter(e -> holds(e, core.checker().newest().slot()))
                .count();
        int losses = budget - occupied;
        return informed - losses >= voters.size() / 2 + 1 && current > losses;
    }

    private boolean holds(String voter, long slot) {
        return core.machines().stream().anyMatch(m -> m.up() && m.id().equals(voter) && m.onDisk() >= slot);
    }

    /** All power goes, and with it some disks; all are back within a second. */
    void blackout(int disks) {
        core.tell("all power goes");
        core.checker().count("losses of all power");
        strikes++;
        List<Machine> all = core.machines();
        int first = core.random().nextInt(all.size());
        for (int i = 0; i < all.size(); i++) {
            Machine m = all.get((first + i) % all.size());
            lose(m.address());
            if (i < disks) {
                m.wipe();
            } else {
                m.down();
            }
            core.agenda().in(core.between(LEAST, POWER_BACK), () -> {
                // One that was about to leave has gone.
                if (core.at(m.address()) == m) {
                    m.boot();
                }
                back(m.address());
            });
        }
    }
}
