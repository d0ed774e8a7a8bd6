package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 2: operators compete with up to eight concurrent orders, some with the same version number. Answers are lost,
 * and calls are repeated at every other control node: immediately, after a loss, or after hundreds of other changes.
 * The history must be linearizable as a register with compare-and-set. One schedule; single-threaded.
 */
final class HistoryPlay {
    private static final double CALM_AT_MS = 20_000;
    private static final double LENGTH_MS = 34_000;
    private static final double ORDER_TIMEOUT_MS = 6000;
    private static final int MAX_UNDER_WAY = 8;
    private static final int LARGE_CORE = 5;
    /** One schedule in this many has a burst of hundreds of changes. */
    private static final int BURST_PERIOD = 20;

    private static final List<Faults.Kind> KINDS = List.of(
            Faults.Kind.KILLED,
            Faults.Kind.WIPED,
            Faults.Kind.CUT,
            Faults.Kind.DEAF,
            Faults.Kind.MUTE,
            Faults.Kind.FROZEN,
            Faults.Kind.HELD,
            Faults.Kind.REPLACED,
            Faults.Kind.REPLACED_AS_PLANNED);

    private final Core core;
    private final Operators operators;
    private final Faults faults;
    private final boolean hasBurst;
    private final List<Operators.Order> repeatable = new ArrayList<>();
    private final Set<String> numbers = new HashSet<>();
    private long baseVersion;
    private int underWay;
    private int burst;

    private HistoryPlay(long seed, Bug bug, Trace trace) {
        int size = seed % 4 == 0 ? LARGE_CORE : 3;
        core = new Core(seed, bug, trace, size);
        operators = new Operators(core, 0.2, new byte[0]);
        faults = new Faults(core, size / 2, Core.SYNC_MS);
        hasBurst = seed % BURST_PERIOD == 1;
    }

    /** Plays one schedule. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new HistoryPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        // Two operators send the first configuration until one is taken.
        core.scheduler().schedule(core.randomBetween(0, 300), () -> send(0));
        core.scheduler().schedule(core.randomBetween(0, 300), () -> send(0));
        core.scheduler().schedule(500, this::sendWave);
        core.scheduler().schedule(700, this::read);
        core.scheduler().schedule(1000, this::injectFaults);
        if (hasBurst) {
            core.scheduler().schedule(4000, () -> {
                burst = 150 + core.random().nextInt(150);
                burst();
            });
        }
        core.scheduler().runUntil(CALM_AT_MS, core.checker()::hasViolations);
        core.scheduler().runUntil(LENGTH_MS - 2 * Core.ACK_MS, core.checker()::hasViolations);
        if (!core.checker().hasViolations()) {
            // Repeats the selected taken orders at every control node.
            repeatable.forEach(o -> core.machines()
                    .forEach(m ->
                            core.scheduler().schedule(core.randomBetween(0, 2000), () -> repeat(o, m.address()))));
            core.scheduler().runUntil(LENGTH_MS - Core.ACK_MS, core.checker()::hasViolations);
            checkFinalReads();
        }
        core.checker().checkHistory();
        return core.checker().outcome();
    }

    private void checkFinalReads() {
        int[] readers = {0};
        core.machines().forEach(m -> operators.read(m.address(), d -> readers[0] += d == null ? 0 : 1));
        core.scheduler().runUntil(LENGTH_MS, core.checker()::hasViolations);
        if (readers[0] < core.machines().size() && !core.checker().hasViolations()) {
            core.checker()
                    .recordViolation("only " + readers[0] + " of "
                            + core.machines().size() + " control nodes could read after the calm");
        }
    }

    private void sendWave() {
        if (core.nowMs() > CALM_AT_MS) {
            return;
        }
        if (burst == 0) {
            int most = core.random().nextInt(3) == 0 ? MAX_UNDER_WAY : 2;
            for (int i = 1 + core.random().nextInt(most); i > 0 && underWay < MAX_UNDER_WAY; i--) {
                // Some orders build on a version that is not the newest.
                send(core.random().nextInt(8) == 0 ? Math.max(0, baseVersion - 1) : baseVersion);
            }
        }
        core.scheduler().schedule(core.randomBetween(300, 1500), this::sendWave);
    }

    private void send(long builtOn) {
        underWay++;
        Change c = operators.change(builtOn);
        if (!numbers.add(c.builtOn() + ">" + c.version())) {
            core.checker().count("changes that carry the number of another on the same version");
        }
        operators.order(c, ORDER_TIMEOUT_MS, o -> {
            underWay--;
            if (o.taken()) {
                acknowledged(o);
            } else if (builtOn == 0 && baseVersion == 0 && core.nowMs() < CALM_AT_MS) {
                send(0);
            }
        });
    }

    private void acknowledged(Operators.Order o) {
        core.checker().count("orders acknowledged");
        baseVersion = Math.max(baseVersion, o.change().version());
        if (core.random().nextInt(3) == 0 && repeatable.size() < MAX_UNDER_WAY) {
            repeatable.add(o);
            core.machines()
                    .forEach(m -> core.scheduler().schedule(core.randomBetween(0, 1500), () -> repeat(o, m.address())));
        }
        if (core.nowMs() < CALM_AT_MS - Core.SYNC_MS && core.random().nextInt(8) == 0 && faults.hasBudget()) {
            if (faults.nothingLost() && core.random().nextBoolean()) {
                faults.losePower(core.random().nextInt(2));
            } else {
                injectFault();
            }
        }
    }

    private void repeat(Operators.Order o, String address) {
        operators.repeat(o, address, verdict -> {
            core.checker().count("calls of a change that was taken, again: " + verdict);
            if (verdict != ConsensusNode.CallResult.TAKEN && verdict != ConsensusNode.CallResult.UNCLEAR) {
                core.checker()
                        .recordViolation("a change that was taken was sent again to " + address + " and was refused: "
                                + o.change());
            }
        });
    }

    private void burst() {
        if (burst <= 0) {
            return;
        }
        burst--;
        Change c = operators.change(baseVersion);
        operators.order(c, ORDER_TIMEOUT_MS, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                baseVersion = Math.max(baseVersion, c.version());
            }
            burst();
        });
    }

    private void read() {
        if (core.nowMs() < CALM_AT_MS) {
            operators.read(core.randomMachine().address(), d -> {
                if (d != null) {
                    baseVersion = Math.max(baseVersion, d.version());
                }
            });
            core.scheduler().schedule(core.randomBetween(300, 1200), this::read);
        }
    }

    private void injectFaults() {
        if (core.nowMs() < CALM_AT_MS - Core.SYNC_MS) {
            if (faults.hasBudget() && core.random().nextInt(3) == 0) {
                injectFault();
            }
            core.scheduler().schedule(500, this::injectFaults);
        }
    }

    private void injectFault() {
        List<Machine> free = core.machines().stream()
                .filter(m -> !faults.countsAsLost(m.address()))
                .toList();
        if (!free.isEmpty()) {
            faults.inject(
                    free.get(core.random().nextInt(free.size())),
                    KINDS.get(core.random().nextInt(KINDS.size())));
        }
    }
}
