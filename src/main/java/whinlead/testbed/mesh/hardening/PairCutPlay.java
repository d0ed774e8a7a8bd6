package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;

/**
 * Point 6: the link between each pair of voters is cut in turn for several seconds, in one direction or both, while
 * both reach the other voters. There are three or five voters, with orders and other losses within the budget. A cut
 * pair counts as one loss unless one of the two is lost otherwise. A voter that reaches a quorum must keep its vote,
 * and the core must make progress. One schedule; single-threaded.
 */
final class PairCutPlay {
    private enum Direction {
        FORTH,
        BACK,
        BOTH
    }

    /** Two voters by their index in the newest decision, and the direction that is cut. */
    private record Cut(int first, int second, Direction direction) {}

    private static final int LARGE_CORE = 5;
    private static final int SMALL_CORE = 3;
    private static final double FIRST_CUT_MS = 1500;
    private static final double POLL_MS = 25;
    private static final double MIN_CUT_MS = 3500;
    private static final double MAX_CUT_MS = 8000;
    private static final double MIN_PAUSE_MS = 100;
    private static final double MAX_PAUSE_MS = 1500;
    /** Time after the last cut for lost machines to return, in milliseconds. */
    private static final double CALM_MS = 5000;
    /** In one schedule in this many, {@link #UNDER_WAY} concurrent orders are sent without a pause. */
    private static final int STORM_PERIOD = 10;

    private static final int UNDER_WAY = 4;
    /** One poll in this many during a cut injects a loss, if the budget allows it. */
    private static final int LOSS_PERIOD = 80;

    private static final List<Faults.Kind> LOSSES = List.of(
            Faults.Kind.KILLED,
            Faults.Kind.WIPED,
            Faults.Kind.FROZEN,
            Faults.Kind.REPLACED,
            Faults.Kind.REPLACED_AS_PLANNED);

    private final Core core;
    private final SteadyOrders orders;
    private final Faults faults;
    private final int budget;
    private final List<Cut> cuts = new ArrayList<>();
    private String first;
    private String second;
    private boolean done;
    private List<String> voters;

    private PairCutPlay(long seed, Bug bug, Trace trace) {
        int size = seed % 3 == 0 ? LARGE_CORE : SMALL_CORE;
        core = new Core(seed, bug, trace, size);
        orders = new SteadyOrders(core, seed % STORM_PERIOD == 0 ? UNDER_WAY : 1);
        budget = size / 2;
        faults = new Faults(core, budget, Core.SYNC_MS);
        voters = core.founders();
        drawCuts(size, seed);
    }

    /** Plays one schedule. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new PairCutPlay(seed, bug, trace).play();
    }

    // Three voters: each pair in each direction. Five: each pair in one direction, which depends on the seed.
    private void drawCuts(int size, long seed) {
        List<Cut> left = new ArrayList<>();
        Direction[] directions = Direction.values();
        for (int i = 0; i < size; i++) {
            for (int j = i + 1; j < size; j++) {
                if (size == SMALL_CORE) {
                    for (Direction d : directions) {
                        left.add(new Cut(i, j, d));
                    }
                } else {
                    left.add(new Cut(i, j, directions[(int) ((seed / SMALL_CORE + left.size()) % SMALL_CORE)]));
                }
            }
        }
        while (!left.isEmpty()) {
            cuts.add(left.remove(core.random().nextInt(left.size())));
        }
    }

    private Outcome play() {
        orders.start();
        core.scheduler().schedule(FIRST_CUT_MS, this::cutNext);
        core.scheduler().scheduleRepeatedly(POLL_MS, this::poll);
        while (!done && !core.checker().hasViolations()) {
            core.scheduler().runUntil(core.nowMs() + CALM_MS, core.checker()::hasViolations);
        }
        orders.stopAndCheck();
        core.checker().checkHistory();
        return core.checker().outcome();
    }

    private void cutNext() {
        if (cuts.isEmpty()) {
            done = faults.nothingLost();
            core.scheduler().schedule(POLL_MS, this::cutNext);
            return;
        }
        Cut cut = cuts.get(0);
        String one = ConsensusNode.address(voters.get(cut.first() % voters.size()));
        String other = ConsensusNode.address(voters.get(cut.second() % voters.size()));
        boolean room = faults.losses() < budget
                && core.machineAt(one) != null
                && core.machineAt(other) != null
                && !one.equals(other);
        if (!room) {
            core.scheduler().schedule(POLL_MS, this::cutNext);
            return;
        }
        cuts.remove(0);
        begin(one, other, cut.direction());
        core.scheduler().schedule(core.randomBetween(MIN_CUT_MS, MAX_CUT_MS), this::end);
    }

    private void begin(String one, String other, Direction direction) {
        core.log(one + " and " + other + " are cut, direction " + direction);
        core.checker().count("cuts, " + direction);
        first = one;
        second = other;
        faults.occupy(1);
        if (direction != Direction.BACK) {
            core.network().set(one, other, Network.Link.CUT);
        }
        if (direction != Direction.FORTH) {
            core.network().set(other, one, Network.Link.CUT);
        }
    }

    private void end() {
        core.log(first + " and " + second + " reach each other");
        core.network().set(first, second, Network.Link.OPEN);
        core.network().set(second, first, Network.Link.OPEN);
        first = null;
        second = null;
        faults.occupy(0);
        core.scheduler().schedule(core.randomBetween(MIN_PAUSE_MS, MAX_PAUSE_MS), this::cutNext);
    }

    private void poll() {
        checkVoters();
        checkQuorum();
        if (first != null && core.random().nextInt(LOSS_PERIOD) == 0) {
            injectLoss();
        }
    }

    private void injectLoss() {
        List<Machine> targets = core.machines().stream()
                .filter(m -> !faults.countsAsLost(m.address()) && !m.leaving() && lossesWith(m.address()) <= budget)
                .toList();
        if (!targets.isEmpty()) {
            faults.inject(
                    targets.get(core.random().nextInt(targets.size())),
                    LOSSES.get(core.random().nextInt(LOSSES.size())));
        }
    }

    // The losses if this machine is lost too, including the cut.
    private int lossesWith(String address) {
        boolean cutCounts = !address.equals(first)
                && !address.equals(second)
                && !faults.countsAsLost(first)
                && !faults.countsAsLost(second);
        return faults.losses() + 1 + (cutCounts ? 1 : 0);
    }

    private void checkVoters() {
        Decision newest = core.checker().newest();
        List<String> current = newest == null ? voters : newest.voters();
        if (!current.equals(voters)) {
            core.checker().count("changes of the voters");
            voters.stream().filter(v -> !current.contains(v)).forEach(this::checkRemoval);
            voters = current;
        }
    }

    private void checkRemoval(String voter) {
        Machine m = core.machineAt(ConsensusNode.address(voter));
        boolean same = m != null && m.id().equals(voter);
        if (same && m.up() && !m.leaving() && core.isUndisturbed(m.address()) && m.contactWithin(Core.CONTACT_MS)) {
            core.checker().recordViolation(voter + " reaches a quorum but lost its vote");
        }
    }

    // At least one voter must reach a quorum in both directions.
    private void checkQuorum() {
        List<Machine> there = voters.stream()
                .map(v -> core.machineAt(ConsensusNode.address(v)))
                .filter(Objects::nonNull)
                .filter(m -> m.up() && voters.contains(m.id()))
                .toList();
        long most = there.stream()
                .mapToLong(m -> there.stream()
                        .filter(o -> o == m || reachEachOther(m, o))
                        .count())
                .max()
                .orElse(0);
        if (most < voters.size() / 2 + 1) {
            core.checker().recordViolation("no voter reaches a quorum: " + most + " of " + voters);
        }
    }

    private boolean reachEachOther(Machine one, Machine other) {
        return core.network().isOpen(one.address(), other.address())
                && core.network().isOpen(other.address(), one.address());
    }
}
