package whinlead.testbed.mesh.hardening;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import whinlead.mesh.consensus.Decision;

/**
 * Injects losses within a budget. A machine counts as lost from the start of the fault until a fixed time after its
 * return; a replaced machine, until that time after its successor's start. Single-threaded.
 */
final class Faults {
    /** A kind of fault. */
    enum Kind {
        /** The process is killed and restarted. */
        KILLED,
        /** The process is killed and restarted, and the disk is lost. */
        WIPED,
        /** The process is suspended and resumed. */
        FROZEN,
        /** No message reaches it or leaves it. */
        CUT,
        /** No message reaches it. */
        DEAF,
        /** None of its messages arrives. */
        MUTE,
        /** Messages to it and from it are delayed and then delivered all at once. */
        HELD,
        /** Its disk takes 30 times as long. */
        SLOW_DISK,
        /** Its disk stalls. */
        STALLED_DISK,
        /** Its disk refuses writes. */
        FULL_DISK,
        /** It is removed without notice; a successor starts later. */
        REPLACED,
        /** A successor starts first, then this machine gets SIGTERM. */
        REPLACED_AS_PLANNED
    }

    private static final double MIN_FAULT_MS = 300;
    private static final double MAX_FAULT_MS = 6000;
    private static final double MAX_RESTART_MS = 2000;
    private static final double SLOW_DISK_FACTOR = 30;
    /** One returning machine in this many has a full disk for a while. */
    private static final int FULL_DISK_PERIOD = 4;
    /** A machine that got SIGTERM exits by itself after this time: {@code GraceS} less its reserve, in milliseconds. */
    private static final double GRACE_MS = 5200;
    /** Between a new machine's start and the old one's SIGTERM, at most, in milliseconds. */
    private static final double MAX_HANDOVER_MS = 2000;
    /** Polling interval in milliseconds. */
    private static final double POLL_MS = 25;
    /** How long to wait for a successor's vote, in milliseconds. */
    private static final double MAX_SEAT_WAIT_MS = 20_000;
    /** After a loss of all power every process is back within this time, in milliseconds. */
    private static final double POWER_BACK_MS = 1000;

    /** A planned replacement, measured until the next loss. */
    private record Replacement(Machine old, double startedAtMs, double terminatedAtMs, int faultsBefore) {}

    private final Core core;
    private final int budget;
    private final double distanceMs;
    private final Map<String, Double> lostUntilMs = new HashMap<>();
    private final Map<String, Double> newcomerUntilMs = new HashMap<>();
    private int newcomers;
    private int injectedFaults;
    private int occupiedLosses;

    /**
     * Creates an injector.
     *
     * @param budget machines that may be lost at the same time
     * @param distance how long a machine still counts as lost after its return, in milliseconds
     */
    Faults(Core core, int budget, double distance) {
        this.core = core;
        this.budget = budget;
        this.distanceMs = distance;
    }

    /** Whether one more machine may be lost now. */
    boolean hasBudget() {
        return losses() < budget;
    }

    /** Reserves losses of the budget for a fault that belongs to no single machine, such as a cut pair. */
    void occupy(int losses) {
        occupiedLosses = losses;
    }

    /** How many machines count as lost now. */
    int losses() {
        return (int) lostUntilMs.values().stream().filter(t -> t > core.nowMs()).count();
    }

    /** Whether no machine counts as lost. */
    boolean nothingLost() {
        return lostUntilMs.values().stream().noneMatch(t -> t > core.nowMs());
    }

    /** Whether this machine's fault is still active. */
    boolean isFaulty(String address) {
        return lostUntilMs.getOrDefault(address, 0.0) == Double.POSITIVE_INFINITY;
    }

    /** Whether this machine counts as lost. */
    boolean countsAsLost(String address) {
        return lostUntilMs.getOrDefault(address, 0.0) > core.nowMs()
                || newcomerUntilMs.getOrDefault(address, 0.0) > core.nowMs();
    }

    /** Injects a fault for a random time. */
    void inject(Machine m, Kind kind) {
        inject(m, kind, core.randomBetween(MIN_FAULT_MS, MAX_FAULT_MS));
    }

    /** Injects a fault; the length applies to faults that end by themselves. */
    void inject(Machine m, Kind kind, double lengthMs) {
        if (core.isTraced()) {
            core.log(m.address() + " gets the fault " + kind);
        }
        core.checker().count("losses");
        core.checker().count("losses, " + kind);
        injectedFaults++;
        faultBegan(m.address());
        switch (kind) {
            case KILLED, WIPED -> {
                if (kind == Kind.WIPED) {
                    m.wipe();
                } else {
                    m.down();
                }
                core.scheduler().schedule(Math.min(lengthMs, MAX_RESTART_MS), () -> {
                    m.boot();
                    if (core.random().nextInt(FULL_DISK_PERIOD) == 0) {
                        m.disk().setFull(true);
                        endAfter(
                                m,
                                core.randomBetween(MIN_FAULT_MS, MAX_RESTART_MS),
                                () -> m.disk().setFull(false));
                    } else {
                        faultEnded(m.address());
                    }
                });
            }
            case FROZEN -> {
                m.freeze();
                endAfter(m, lengthMs, m::thaw);
            }
            case CUT -> setLinks(m, lengthMs, Network.Link.CUT, Network.Link.CUT);
            case DEAF -> setLinks(m, lengthMs, Network.Link.CUT, Network.Link.OPEN);
            case MUTE -> setLinks(m, lengthMs, Network.Link.OPEN, Network.Link.CUT);
            case HELD -> setLinks(m, lengthMs, Network.Link.HELD, Network.Link.HELD);
            case SLOW_DISK -> {
                m.disk().setSlowdown(SLOW_DISK_FACTOR);
                endAfter(m, lengthMs, () -> m.disk().setSlowdown(1));
            }
            case STALLED_DISK -> {
                m.disk().stallUntil(core.nowMs() + lengthMs);
                endAfter(m, lengthMs, () -> {});
            }
            case FULL_DISK -> {
                m.disk().setFull(true);
                endAfter(m, lengthMs, () -> m.disk().setFull(false));
            }
            case REPLACED -> {
                core.remove(m);
                double removedAtMs = core.nowMs();
                core.scheduler().schedule(Math.min(lengthMs, MAX_RESTART_MS), () -> {
                    measureSeat(addMachine(), m, removedAtMs, core.nowMs());
                    faultEnded(m.address());
                });
            }
            case REPLACED_AS_PLANNED -> replaceAsPlanned(m);
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    private void faultBegan(String address) {
        lostUntilMs.put(address, Double.POSITIVE_INFINITY);
        core.faultBegan(address);
    }

    private void faultEnded(String address) {
        lostUntilMs.put(address, core.nowMs() + distanceMs);
        core.faultEnded(address);
        core.log(address + " has recovered from its fault");
    }

    private void endAfter(Machine m, double lengthMs, Runnable end) {
        core.scheduler().schedule(lengthMs, () -> {
            end.run();
            faultEnded(m.address());
        });
    }

    private void setLinks(Machine m, double lengthMs, Network.Link in, Network.Link out) {
        List<String> others = core.machines().stream()
                .map(Machine::address)
                .filter(a -> !a.equals(m.address()))
                .toList();
        others.forEach(a -> {
            core.network().set(a, m.address(), in);
            core.network().set(m.address(), a, out);
        });
        endAfter(
                m,
                lengthMs,
                () -> others.forEach(a -> {
                    core.network().set(a, m.address(), Network.Link.OPEN);
                    core.network().set(m.address(), a, Network.Link.OPEN);
                }));
    }

    // The successor also counts as lost for a while, but as part of the loss of the machine it replaces.
    private Machine addMachine() {
        Machine m = core.add("n" + ++newcomers, null);
        core.faultBegan(m.address());
        core.faultEnded(m.address());
        newcomerUntilMs.put(m.address(), core.nowMs() + distanceMs);
        return m;
    }

    private void replaceAsPlanned(Machine old) {
        double startedAtMs = core.nowMs();
        addMachine();
        core.scheduler().schedule(core.randomBetween(0, MAX_HANDOVER_MS), () -> {
            lostUntilMs.put(old.address(), Math.max(startedAtMs + distanceMs, core.nowMs()));
            core.faultEnded(old.address());
            core.log(old.address() + " gets SIGTERM");
            double terminatedAtMs = core.nowMs();
            old.leave();
            awaitExit(old, terminatedAtMs, terminatedAtMs + GRACE_MS);
            Replacement replacement = new Replacement(old, startedAtMs, terminatedAtMs, injectedFaults);
            measure(replacement, "a core that bears the next loss", this::toleratesNextLoss);
            measure(
                    replacement,
                    "voters of whom any quorum left after the next loss has the newest",
                    this::anyQuorumHasNewest);
        });
    }

    private void awaitExit(Machine old, double terminatedAtMs, double untilMs) {
        if (core.machineAt(old.address()) != old) {
            return;
        }
        if (old.mayExit() || core.nowMs() >= untilMs) {
            core.checker()
                    .count(
                            old.mayExit()
                                    ? "members that left by agreement"
                                    : "members that left when their time was up");
            core.checker().sample("a member that was told to leave, ms to its end", core.nowMs() - terminatedAtMs);
            core.remove(old);
        } else {
            core.scheduler().schedule(POLL_MS, () -> awaitExit(old, terminatedAtMs, untilMs));
        }
    }

    // Measures an unplanned replacement until the successor has a vote and the removed machine has none.
    private void measureSeat(Machine successor, Machine old, double removedAtMs, double startedAtMs) {
        Decision newest = core.checker().newest();
        boolean done = newest != null
                && newest.voters().contains(successor.id())
                && !newest.voters().contains(old.id());
        if (done) {
            core.checker()
                    .sample("an unplanned replacement, ms from the loss to the new voters", core.nowMs() - removedAtMs);
            core.checker()
                    .sample(
                            "an unplanned replacement, ms from the new one's start to the new voters",
                            core.nowMs() - startedAtMs);
        } else if (core.machineAt(successor.address()) != successor || core.nowMs() - startedAtMs > MAX_SEAT_WAIT_MS) {
            core.checker().count("unplanned replacements that were overtaken");
        } else {
            core.scheduler().schedule(POLL_MS, () -> measureSeat(successor, old, removedAtMs, startedAtMs));
        }
    }

    private void measure(Replacement r, String state, BooleanSupplier reached) {
        if (injectedFaults != r.faultsBefore() || lostUntilMs.containsValue(Double.POSITIVE_INFINITY)) {
            core.checker().count("planned replacements that another loss overtook before " + state);
            return;
        }
        if (core.nowMs() - r.startedAtMs() > Core.SYNC_MS + GRACE_MS) {
            core.checker()
                    .recordViolation(state + ": not reached in time after a planned replacement of "
                            + r.old().address());
            return;
        }
        if (!core.checker().newest().voters().contains(r.old().id()) && reached.getAsBoolean()) {
            core.checker()
                    .sample(
                            "a planned replacement, ms from the new one's start to " + state,
                            core.nowMs() - r.startedAtMs());
            core.checker()
                    .sample("a planned replacement, ms from SIGTERM to " + state, core.nowMs() - r.terminatedAtMs());
            return;
        }
        core.scheduler().schedule(POLL_MS, () -> measure(r, state, reached));
    }

    // Any voters may be lost, up to the remaining budget, and the rest is a quorum that has the newest slot on disk.
    private boolean toleratesNextLoss() {
        List<String> voters = core.checker().newest().voters();
        long slot = core.checker().newest().slot();
        long able = voters.stream().filter(e -> hasOnDisk(e, slot)).count();
        return able - (budget - occupiedLosses) >= voters.size() / 2 + 1;
    }

    // Any voters may be lost, up to the remaining budget: a quorum is left that knows the voters, and one of it has the
    // newest slot on disk. With decisions in quick succession, all disks hardly ever have the newest at the same
    // moment,
    // and the protocol does not require it.
    private boolean anyQuorumHasNewest() {
        List<String> voters = core.checker().newest().voters();
        long informed = voters.stream()
                .filter(e -> hasOnDisk(e, core.checker().votersSlot()))
                .count();
        long current = voters.stream()
                .filter(e -> hasOnDisk(e, core.checker().newest().slot()))
                .count();
        int losses = budget - occupiedLosses;
        return informed - losses >= voters.size() / 2 + 1 && current > losses;
    }

    private boolean hasOnDisk(String voter, long slot) {
        return core.machines().stream().anyMatch(m -> m.up() && m.id().equals(voter) && m.onDisk() >= slot);
    }

    /** All machines lose power and some lose their disks; all are back within a second. */
    void losePower(int disks) {
        core.log("all machines lose power");
        core.checker().count("losses of all power");
        injectedFaults++;
        List<Machine> all = core.machines();
        int first = core.random().nextInt(all.size());
        for (int i = 0; i < all.size(); i++) {
            Machine m = all.get((first + i) % all.size());
            faultBegan(m.address());
            if (i < disks) {
                m.wipe();
            } else {
                m.down();
            }
            core.scheduler().schedule(core.randomBetween(MIN_FAULT_MS, POWER_BACK_MS), () -> {
                // A machine that was leaving may have been removed.
                if (core.machineAt(m.address()) == m) {
                    m.boot();
                }
                faultEnded(m.address());
            });
        }
    }
}
