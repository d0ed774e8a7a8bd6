package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * How long a change of voters takes under orders without a pause: a learner that asks for a vote, then a voter that is
 * told to leave, then one that falls silent. Each is measured from its cause to the first decision with the new voters,
 * in milliseconds and in slots decided meanwhile. One schedule, one thread.
 */
public final class MembershipPlay {
    private static final double FIRST = 2000;
    private static final double LOOK = 1;
    private static final double PATIENCE = 8000;
    private static final double PAUSE = 1000;
    /** The time after which a voter that answers nothing is silent, in milliseconds. */
    private static final double SILENCE = 2500;

    private static final double END = 40_000;
    private static final int VOTERS = 3;

    private final Core core;
    private final Operators operators;
    private final int underWay;
    private long base;
    private boolean done;

    private MembershipPlay(long seed, Bug bug, Trace trace, int underWay) {
        this.core = new Core(seed, bug, trace, VOTERS);
        this.operators = new Operators(core, 0.02, new byte[0]);
        this.underWay = underWay;
    }

    /**
     * Plays one schedule; the same seed plays the same.
     *
     * @param underWay orders under way at any time
     */
    public static Outcome play(long seed, Bug bug, Trace trace, int underWay) {
        return new MembershipPlay(seed, bug, trace, underWay).play();
    }

    private Outcome play() {
        for (int i = 0; i < underWay; i++) {
            core.agenda().in(core.between(0, 100), this::order);
        }
        core.agenda().in(FIRST + core.between(0, PAUSE), this::newcomer);
        core.agenda().run(END, () -> done || core.checker().anyBroken());
        if (!done) {
            core.checker().broke("a change of voters is not done after " + END + " ms");
        }
        return core.checker().outcome();
    }

    private void order() {
        operators.order(operators.change(base), PATIENCE, order -> {
            if (order.taken()) {
                base = Math.max(base, order.change().version());
            }
            core.agenda().in(0, this::order);
        });
    }

    private void newcomer() {
        Machine added = core.add("n1", null);
        await(
                () -> added.onDisk() >= 0,
                () -> measure(
                        "newcomer's request", slot(), core.now(), voters -> voters.contains(added.id()), this::leaver));
    }

    private void leaver() {
        Machine leaver = draw();
        leaver.leave();
        double toldAt = core.now();
        measure(
                "SIGTERM",
                slot(),
                toldAt,
                voters -> !voters.contains(leaver.id()),
                () -> await(() -> leaver.left(), () -> {
                    core.checker().sample(title("SIGTERM to the process's end, ms"), core.now() - toldAt);
                    core.remove(leaver);
                    fourth();
                }));
    }

    private void fourth() {
        Machine added = core.add("n2", null);
        await(() -> core.checker().newest().voters().contains(added.id()), this::silence);
    }

    private void silence() {
        Machine silent = draw();
        silent.down();
        core.agenda()
                .in(
                        SILENCE,
                        () -> measure(
                                "silence of 2.5 s",
                                slot(),
                                core.now(),
                                voters -> !voters.contains(silent.id()),
                                () -> done = true));
    }

    private Machine draw() {
        List<Machine> voters = core.machines().stream()
                .filter(machine -> core.checker().newest().voters().contains(machine.id()))
                .toList();
        return voters.get(core.random().nextInt(voters.size()));
    }

    private long slot() {
        return core.checker().newest().slot();
    }

    private String title(String what) {
        return underWay + " under way, " + what;
    }

    private void measure(String cause, long fromSlot, double from, Predicate<List<String>> reached, Runnable then) {
        await(() -> reached.test(core.checker().newest().voters()), () -> {
            core.checker().sample(title(cause + " to the new voters, ms"), core.now() - from);
            core.checker()
                    .sample(
                            title(cause + " to the new voters, changes decided meanwhile"),
                            Math.max(0, slot() - fromSlot - 1));
            core.agenda().in(core.between(0, PAUSE), then);
        });
    }

    private void await(BooleanSupplier condition, Runnable then) {
        if (condition.getAsBoolean()) {
            then.run();
        } else {
            core.agenda().in(LOOK, () -> await(condition, then));
        }
    }
}
