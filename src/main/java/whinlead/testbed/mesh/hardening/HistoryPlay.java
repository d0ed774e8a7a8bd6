package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.testbed.mesh.hardening.Operation.Change;

/**
 * Point 2: operators race, up to eight orders under way, under one number at times; answers are lost, and calls are
 * repeated at every other control node: at once, after a loss, after hundreds of other changes. Their history has to be
 * one of a register with compare-and-set. One schedule, one thread.
 */
final class HistoryPlay {
    private static final double CALM = 20_000;
    private static final double LENGTH = 34_000;
    private static final double PATIENCE = 6000;
    private static final int MAX_UNDER_WAY = 8;
    private static final int LARGE = 5;
    /** In one of so many schedules there are hundreds of changes. */
    private static final int MANY = 20;

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
    private final boolean many;
    private final List<Operators.Order> taken = new ArrayList<>();
    private final Set<String> numbers = new HashSet<>();
    private long base;
    private int underWay;
    private int burst;

    private HistoryPlay(long seed, Bug bug, Trace trace) {
        int size = seed % 4 == 0 ? LARGE : 3;
        core = new Core(seed, bug, trace, size);
        operators = new Operators(core, 0.2, new byte[0]);
        faults = new Faults(core, size / 2, Core.SYNC);
        many = seed % MANY == 1;
    }

    /** Plays one. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new HistoryPlay(seed, bug, trace).play();
    }

    private Outcome play() {
        // The first configuration, by two operators, sent until it is taken.
        core.agenda().in(core.between(0, 300), () -> send(0));
        core.agenda().in(core.between(0, 300), () -> send(0));
        core.agenda().in(500, this::wave);
        core.agenda().in(700, this::read);
        core.agenda().in(1000, this::harm);
        if (many) {
            core.agenda().in(4000, () -> {
                burst = 150 + core.random().nextInt(150);
                burst();
            });
        }
        core.agenda().run(CALM, core.checker()::anyBroken);
        core.agenda().run(LENGTH - 2 * Core.ACK, core.checker()::anyBroken);
        if (!core.checker().anyBroken()) {
            // All that was taken is asked for again, everywhere.
            taken.forEach(o ->
                    core.machines().forEach(m -> core.agenda().in(core.between(0, 2000), () -> again(o, m.address()))));
            core.agenda().run(LENGTH - Core.ACK, core.checker()::anyBroken);
            close();
        }
        core.checker().judgeHistory();
        return core.checker().outcome();
    }

    private void close() {
        int[] readers = {0};
        core.machines().forEach(m -> operators.read(m.address(), d -> readers[0] += d == null ? 0 : 1));
        core.agenda().run(LENGTH, core.checker()::anyBroken);
        if (readers[0] < core.machines().size() && !core.checker().anyBroken()) {
            core.checker()
                    .broke("only " + readers[0] + " of " + core.machines().size()
                            + " control nodes could read after the calm");
        }
    }

    private void wave() {
        if (core.now() > CALM) {
            return;
        }
        if (burst == 0) {
            int most = core.random().nextInt(3) == 0 ? MAX_UNDER_WAY : 2;
            for (int i = 1 + core.random().nextInt(most); i > 0 && underWay < MAX_UNDER_WAY; i--) {
                // Some build on what is not the newest.
                send(core.random().nextInt(8) == 0 ? Math.max(0, base - 1) : base);
            }
        }
        core.agenda().in(core.between(300, 1500), this::wave);
    }

    private void send(long builtOn) {
        underWay++;
        Change c = operators.change(builtOn);
        if (!numbers.add(c.builtOn() + ">" + c.version())) {
            core.checker().count("changes that carry the number of another on the same version");
        }
        operators.order(c, PATIENCE, o -> {
            underWay--;
            if (o.taken()) {
                took(o);
            } else if (builtOn == 0 && base == 0 && core.now() < CALM) {
                send(0);
            }
        });
    }

    private void took(Operators.Order o) {
        core.checker().count("orders acknowledged");
        base = Math.max(base, o.change().version());
        if (core.random().nextInt(3) == 0 && taken.size() < MAX_UNDER_WAY) {
            taken.add(o);
            core.machines().forEach(m -> core.agenda().in(core.between(0, 1500), () -> again(o, m.address())));
        }
        if (core.now() < CALM - Core.SYNC && core.random().nextInt(8) == 0 && faults.may()) {
            if (faults.whole() && core.random().nextBoolean()) {
                faults.blackout(core.random().nextInt(2));
            } else {
                strike();
            }
        }
    }

    private void again(Operators.Order o, String at) {
        operators.repeat(o, at, verdict -> {
            core.checker().count("calls of a change that was taken, again: " + verdict);
            if (verdict != ConsensusNode.CallResult.TAKEN && verdict != ConsensusNode.CallResult.UNCLEAR) {
                core.checker()
                        .broke("a change that was taken was sent again to " + at + " and was refused: " + o.change());
            }
        });
    }

    private void burst() {
        if (burst <= 0) {
            return;
        }
        burst--;
        Change c = operators.change(base);
        operators.order(c, PATIENCE, o -> {
            if (o.taken()) {
                core.checker().count("orders acknowledged");
                base = Math.max(base, c.version());
            }
            burst();
        });
    }

    private void read() {
        if (core.now() < CALM) {
            operators.read(core.any().address(), d -> {
                if (d != null) {
                    base = Math.max(base, d.version());
                }
            });
            core.agenda().in(core.between(300, 1200), this::read);
        }
    }

    private void harm() {
        if (core.now() < CALM - Core.SYNC) {
            if (faults.may() && core.random().nextInt(3) == 0) {
                strike();
            }
            core.agenda().in(500, this::harm);
        }
    }

    private void strike() {
        List<Machine> free =
                core.machines().stream().filter(m -> !faults.lost(m.address())).toList();
        if (!free.isEmpty()) {
            faults.strike(
                    free.get(core.random().nextInt(free.size())),
                    KINDS.get(core.random().nextInt(KINDS.size())));
        }
    }
}
