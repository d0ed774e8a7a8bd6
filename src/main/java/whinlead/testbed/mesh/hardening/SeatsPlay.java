package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.Set;

/**
 * Point 3: one loss after the other, at a distance after the machine's return, three voters with one loss or five with
 * two at once: kills, wiped disks, replacements as planned and not, freezes, cuts, slow, stalled and full disks. A
 * majority must always be there, and the core must go on after it. One schedule, one thread.
 */
final class SeatsPlay {
    private static final double FIRST = 1500;
    private static final double CALM = 24_000;
    private static final double LOOK = 25;
    private static final double PATIENCE = 8000;
    private static final int LARGE = 5;
    /** In a quarter of the schedules, those of these seeds, orders come without a pause. */
    private static final int STORM_PERIOD = 20;

    private static final Set<Long> STORM_SEEDS = Set.of(0L, 4L, 7L, 10L, 13L);
    /** So many orders at a time in these. */
    private static final int UNDER_WAY = 4;

    private static final double NO_PAUSE = 20;

    private final Core core;
    private final Operators operators;
    private final Faults faults;
    private final boolean keeps;
    private final boolean storms;
    private long base;
    private boolean closing;
    private boolean inTheDark;

    private SeatsPlay(long seed, Bug bug, Trace trace, double distance) {
        storms = STORM_SEEDS.contains(seed % STORM_PERIOD);
        int size = seed % 3 == 0 ? LARGE : 3;
        core = new Core(seed, bug, trace, size);
        operators = new Operators(core, 0.02, new byte[0]);
        faults = new Faults(core, size / 2, distance);
        keeps = distance >= Core.SYNC;
    }

    /**
     * Plays one.
     *
     * @param distance between a machine's return and the next loss, at least, in milliseconds
     */
    static Outcome play(long seed, Bug bug, Trace trace, double distance) {
        return new SeatsPlay(seed, bug, trace, distance).play();
    }

    private Outcome play() {
        for (int i = storms ? UNDER_WAY : 1; i > 0; i--) {
            core.agenda().in(core.between(0, 500), this::order);
        }
        core.agenda().in(FIRST, this::harm);
        core.agenda().in(FIRST, this::read);
        core.agenda().every(LOOK, this::look);
        core.agenda().run(CALM, core.checker()::anyBroken);
        // All are back, and SyncS has passed.
        for (double t = CALM; !faults.whole() && !core.checker().anyBroken(); t += LOOK) {
            core.agenda().run(t, core.checker()::anyBroken);
        }
        close();
        core.checker().judgeHistory();
        return core.checker().outcome();
    }

    private void close() {
        closing = true;
        int[] done = {0};
        long[] ordered = {0};
        // The one that may still be under way, then one more.
        core.agenda().run(core.now() + PATIENCE, core.checker()::anyBroken);
        core.machines()
                .forEach(m -> operators.read(m.address(), d -> {
                    done[0] += d == null ? 0 : 1;
                    base = d == null ? base : Math.max(base, d.version());
                }));
        core.agenda().run(core.now() + Core.ACK, core.checker()::anyBroken);
        if (core.checker().anyBroken()) {
            return;
        }
        operators.order(operators.change(base), Core.ACK, o -> ordered[0] += o.taken() ? 1 : 0);
        core.agenda().run(core.now() + Core.ACK, core.checker()::anyBroken);
        if (!core.checker().anyBroken() && (done[0] < core.machines().size() || ordered[0] == 0)) {
            core.checker()
                    .broke("stands still after the calm: " + done[0] + " of "
                            + core.machines().size() + " control nodes read, an order was "
                            + (ordered[0] == 0 ? "not taken" : "taken"));
        }
    }

    private void look() {
        if (!keeps || inTheDark) {
            inTheDark = inTheDark && !core.machines().stream().allMatch(Machine::up);
            return;
        }
        List<String> voters = core.checker().newest() == null
                ? core.founders()
                : core.checker().newest().voters();
        long there = voters.stream()
                .filter(e ->
                        core.machines().stream().anyMatch(m -> m.up() && m.id().equals(e) && !faults.out(m.address())))
                .count();
        if (there < voters.size() / 2 + 1) {
            core.checker().broke("no majority is there: " + there + " of " + voters);
        }
    }

    private void harm() {
        if (core.now() > CALM) {
            return;
        }
        if (faults.may() && core.random().nextInt(4) == 0) {
            strike(Faults.Kind.values()[core.random().nextInt(Faults.Kind.values().length)]);
        }
        core.agenda().in(LOOK, this::harm);
    }

    private void strike(Faults.Kind kind) {
        List<Machine> free = core.machines().stream()
                .filter(m -> !faults.lost(m.address()) && !m.leaving())
                .toList();
        if (!free.isEmpty()) {
            faults.strike(free.get(core.random().nextInt(free.size())), kind);
        }
    }

    private void order() {
        if (closing || core.now() > CALM) {
            return;
        }
        operators.order(operators.change(base), PATIENCE, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                base = Math.max(base, o.change().version());
                afterwards();
            }
            core.agenda().in(storms ? core.between(0, NO_PAUSE) : core.between(100, 900), this::order);
        });
    }

    // Right after an acknowledgement, at times: whoever holds it may be the next to go.
    private void afterwards() {
        if (core.now() > CALM || !faults.may() || core.random().nextInt(4) != 0) {
            return;
        }
        if (faults.whole() && core.random().nextInt(4) == 0) {
            inTheDark = true;
            faults.blackout(core.random().nextInt(2));
        } else {
            strike(core.random().nextBoolean() ? Faults.Kind.WIPED : Faults.Kind.KILLED);
        }
    }

    private void read() {
        if (!closing) {
            operators.read(core.any().address(), d -> base = d == null ? base : Math.max(base, d.version()));
            core.agenda().in(core.between(400, 1500), this::read);
        }
    }
}
