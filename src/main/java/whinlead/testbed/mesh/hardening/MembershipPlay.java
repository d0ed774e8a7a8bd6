package whinlead.testbed.mesh.hardening;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Measures how long a change of voters takes under continuous orders: a learner that requests a vote, then a voter that
 * gets SIGTERM, then a voter that is killed. Each is measured from its cause to the first decision with the new voters,
 * in milliseconds and in slots decided meanwhile. One schedule; single-threaded.
 */
public final class MembershipPlay {
    private static final double FIRST_CHANGE_MS = 2000;
    private static final double POLL_MS = 1;
    private static final double ORDER_TIMEOUT_MS = 8000;
    private static final double MAX_PAUSE_MS = 1000;
    /** The time after which a voter that does not answer counts as silent, in milliseconds. */
    private static final double SILENCE_MS = 2500;

    private static final double END_MS = 40_000;
    private static final int VOTERS = 3;

    private final Core core;
    private final Operators operators;
    private final int underWay;
    private long baseVersion;
    private boolean done;

    private MembershipPlay(long seed, Bug bug, Trace trace, int underWay) {
        this.core = new Core(seed, bug, trace, VOTERS);
        this.operators = new Operators(core, 0.02, new byte[0]);
        this.underWay = underWay;
    }

    /**
     * Plays one schedule; deterministic for a seed.
     *
     * @param underWay the number of concurrent orders
     */
    public static Outcome play(long seed, Bug bug, Trace trace, int underWay) {
        return new MembershipPlay(seed, bug, trace, underWay).play();
    }

    private Outcome play() {
        for (int i = 0; i < underWay; i++) {
            core.scheduler().schedule(core.randomBetween(0, 100), this::order);
        }
        core.scheduler().schedule(FIRST_CHANGE_MS + core.randomBetween(0, MAX_PAUSE_MS), this::measureJoin);
        core.scheduler().runUntil(END_MS, () -> done || core.checker().hasViolations());
        if (!done) {
            core.checker().recordViolation("a change of voters is not done after " + END_MS + " ms");
        }
        return core.checker().outcome();
    }

    private void order() {
        operators.order(operators.change(baseVersion), ORDER_TIMEOUT_MS, order -> {
            if (order.taken()) {
                baseVersion = Math.max(baseVersion, order.change().version());
            }
            core.scheduler().schedule(0, this::order);
        });
    }

    private void measureJoin() {
        Machine added = core.add("n1", null);
        await(
                () -> added.onDisk() >= 0,
                () -> measure(
                        "newcomer's request",
                        slot(),
                        core.nowMs(),
                        voters -> voters.contains(added.id()),
                        this::measureLeave));
    }

    private void measureLeave() {
        Machine leaver = randomVoter();
        leaver.leave();
        double terminatedAtMs = core.nowMs();
        measure(
                "SIGTERM",
                slot(),
                terminatedAtMs,
                voters -> !voters.contains(leaver.id()),
                () -> await(() -> leaver.mayExit(), () -> {
                    core.checker().sample(title("SIGTERM to the process's end, ms"), core.nowMs() - terminatedAtMs);
                    core.remove(leaver);
                    addFourth();
                }));
    }

    private void addFourth() {
        Machine added = core.add("n2", null);
        await(() -> core.checker().newest().voters().contains(added.id()), this::measureSilence);
    }

    private void measureSilence() {
        Machine silent = randomVoter();
        silent.down();
        core.scheduler()
                .schedule(
                        SILENCE_MS,
                        () -> measure(
                                "silence of 2.5 s",
                                slot(),
                                core.nowMs(),
                                voters -> !voters.contains(silent.id()),
                                () -> done = true));
    }

    private Machine randomVoter() {
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

    private void measure(String cause, long fromSlot, double fromMs, Predicate<List<String>> reached, Runnable then) {
        await(() -> reached.test(core.checker().newest().voters()), () -> {
            core.checker().sample(title(cause + " to the new voters, ms"), core.nowMs() - fromMs);
            core.checker()
                    .sample(
                            title(cause + " to the new voters, changes decided meanwhile"),
                            Math.max(0, slot() - fromSlot - 1));
            core.scheduler().schedule(core.randomBetween(0, MAX_PAUSE_MS), then);
        });
    }

    private void await(BooleanSupplier condition, Runnable then) {
        if (condition.getAsBoolean()) {
            then.run();
        } else {
            core.scheduler().schedule(POLL_MS, () -> await(condition, then));
        }
    }
}
