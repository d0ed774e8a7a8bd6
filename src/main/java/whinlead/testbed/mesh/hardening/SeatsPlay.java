package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.Set;

/**
 * Point 3: successive losses, each a minimum time after the last machine's return; three voters with one loss or five
 * with two at once. The losses are kills, wiped disks, planned and unplanned replacements, freezes, cuts, and slow,
 * stalled and full disks. A majority must always be available, and the core must make progress afterwards. One
 * schedule; single-threaded.
 */
final class SeatsPlay {
    private static final double FIRST_FAULT_MS = 1500;
    private static final double CALM_AT_MS = 24_000;
    private static final double POLL_MS = 25;
    private static final double ORDER_TIMEOUT_MS = 8000;
    private static final int LARGE_CORE = 5;
    /** In a quarter of the schedules, those of the seeds below, orders are sent without a pause. */
    private static final int STORM_PERIOD = 20;

    private static final Set<Long> STORM_SEEDS = Set.of(0L, 4L, 7L, 10L, 13L);
    /** The number of concurrent orders in these schedules. */
    private static final int UNDER_WAY = 4;

    private static final double MAX_STORM_PAUSE_MS = 20;

    private final Core core;
    private final Operators operators;
    private final Faults faults;
    private final boolean checksMajority;
    private final boolean hasStorm;
    private long baseVersion;
    private boolean closing;
    private boolean powerLost;

    private SeatsPlay(long seed, Bug bug, Trace trace, double distance) {
        hasStorm = STORM_SEEDS.contains(seed % STORM_PERIOD);
        int size = seed % 3 == 0 ? LARGE_CORE : 3;
        core = new Core(seed, bug, trace, size);
        operators = new Operators(core, 0.02, new byte[0]);
        faults = new Faults(core, size / 2, distance);
        checksMajority = distance >= Core.SYNC_MS;
    }

    /**
     * Plays one schedule.
     *
     * @param distance minimum time between a machine's return and the next loss, in milliseconds
     */
    static Outcome play(long seed, Bug bug, Trace trace, double distance) {
        return new SeatsPlay(seed, bug, trace, distance).play();
    }

    private Outcome play() {
        for (int i = hasStorm ? UNDER_WAY : 1; i > 0; i--) {
            core.scheduler().schedule(core.randomBetween(0, 500), this::order);
        }
        core.scheduler().schedule(FIRST_FAULT_MS, this::injectFaults);
        core.scheduler().schedule(FIRST_FAULT_MS, this::read);
        core.scheduler().scheduleRepeatedly(POLL_MS, this::checkVoters);
        core.scheduler().runUntil(CALM_AT_MS, core.checker()::hasViolations);
        // Waits until all machines are back and SyncS has passed.
        for (double untilMs = CALM_AT_MS;
                !faults.nothingLost() && !core.checker().hasViolations();
                untilMs += POLL_MS) {
            core.scheduler().runUntil(untilMs, core.checker()::hasViolations);
        }
        checkProgress();
        core.checker().checkHistory();
        return core.checker().outcome();
    }

    private void checkProgress() {
        closing = true;
        int[] done = {0};
        long[] ordered = {0};
        // Waits for an outstanding order, then sends one more.
        core.scheduler().runUntil(core.nowMs() + ORDER_TIMEOUT_MS, core.checker()::hasViolations);
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    done[0] += d == null ? 0 : 1;
                    baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version());
                }));
        core.scheduler().runUntil(core.nowMs() + Core.ACK_MS, core.checker()::hasViolations);
        if (core.checker().hasViolations()) {
            return;
        }
        operators.order(operators.change(baseVersion), Core.ACK_MS, o -> ordered[0] += o.taken() ? 1 : 0);
        core.scheduler().runUntil(core.nowMs() + Core.ACK_MS, core.checker()::hasViolations);
        if (!core.checker().hasViolations() && (done[0] < core.machines().size() || ordered[0] == 0)) {
            core.checker()
                    .recordViolation("stands still after the calm: " + done[0] + " of "
                            + core.machines().size() + " control nodes read, an order was "
                            + (ordered[0] == 0 ? "not taken" : "taken"));
        }
    }

    private void checkVoters() {
        if (!checksMajority || powerLost) {
            powerLost = powerLost && !core.machines().stream().allMatch(Machine::up);
            return;
        }
        List<String> voters = core.checker().newest() == null
                ? core.founders()
                : core.checker().newest().voters();
        long present = voters.stream()
                .filter(e -> core.machines().stream()
                        .anyMatch(m -> m.up() && m.id().equals(e) && !faults.isFaulty(m.address())))
                .count();
        if (present < voters.size() / 2 + 1) {
            core.checker().recordViolation("no majority is available: " + present + " of " + voters);
        }
    }

    private void injectFaults() {
        if (core.nowMs() > CALM_AT_MS) {
            return;
        }
        if (faults.hasBudget() && core.random().nextInt(4) == 0) {
            injectFault(Faults.Kind.values()[core.random().nextInt(Faults.Kind.values().length)]);
        }
        core.scheduler().schedule(POLL_MS, this::injectFaults);
    }

    private void injectFault(Faults.Kind kind) {
        List<Machine> free = core.machines().stream()
                .filter(m -> !faults.countsAsLost(m.address()) && !m.leaving())
                .toList();
        if (!free.isEmpty()) {
            faults.inject(free.get(core.random().nextInt(free.size())), kind);
        }
    }

    private void order() {
        if (closing || core.nowMs() > CALM_AT_MS) {
            return;
        }
        operators.order(operators.change(baseVersion), ORDER_TIMEOUT_MS, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                baseVersion = Math.max(baseVersion, o.change().version());
                maybeInjectAfterAcknowledgement();
            }
            core.scheduler()
                    .schedule(
                            hasStorm ? core.randomBetween(0, MAX_STORM_PAUSE_MS) : core.randomBetween(100, 900),
                            this::order);
        });
    }

    // Sometimes injects a fault right after an acknowledgement, which may hit a machine that stores the change.
    private void maybeInjectAfterAcknowledgement() {
        if (core.nowMs() > CALM_AT_MS || !faults.hasBudget() || core.random().nextInt(4) != 0) {
            return;
        }
        if (faults.nothingLost() && core.random().nextInt(4) == 0) {
            powerLost = true;
            faults.losePower(core.random().nextInt(2));
        } else {
            injectFault(core.random().nextBoolean() ? Faults.Kind.WIPED : Faults.Kind.KILLED);
        }
    }

    private void read() {
        if (!closing) {
            operators.read(
                    core.randomMachine().address(),
                    d -> baseVersion = d == null ? baseVersion : Math.max(baseVersion, d.version()));
            core.scheduler().schedule(core.randomBetween(400, 1500), this::read);
        }
    }
}
