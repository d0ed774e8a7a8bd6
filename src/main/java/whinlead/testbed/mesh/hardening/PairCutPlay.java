package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;

/**
 * Point 6: each pair of voters is cut in turn and for long, one way and both, while both reach the rest; three voters
 * or five, with orders going on and other losses between, within the budget. A cut pair counts as one loss for as long
 * as none of its two is lost otherwise. A voter that reaches a quorum must keep its vote, and the core must go on. One
 * schedule, one thread.
 */
final class PairCutPlay {
    private enum Direction {
        FORTH,
        BACK,
        BOTH
    }

    /** Two voters by their place in the newest decision, and which way between them is cut. */
    private record Cut(int first, int second, Direction direction) {}

    private static final int LARGE = 5;
    private static final int SMALL = 3;
    private static final double FIRST = 1500;
    private static final double LOOK = 25;
    private static final double MIN_CUT = 3500;
    private static final double MAX_CUT = 8000;
    private static final double MIN_PAUSE = 100;
    private static final double MAX_PAUSE = 1500;
    /** Time after the last cut for what is still lost to return. */
    private static final double CALM = 5000;
    /** In one schedule of so many, orders come without a pause, so many at a time. */
    private static final int STORMS = 10;

    private static final int UNDER_WAY = 4;
    /** A look in so many during a cut brings a loss, where the budget has room for one. */
    private static final int RARELY = 80;

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
    private boolean over;
    private List<String> voters;

    private PairCutPlay(long seed, Bug bug, Trace trace) {
        int size = seed % 3 == 0 ? LARGE : SMALL;
        core = new Core(seed, bug, trace, size);
        orders = new SteadyOrders(core, seed % STORMS == 0 ? UNDER_WAY : 1);
        budget = size / 2;
        faults = new Faults(core, budget, Core.SYNC);
        voters = core.founders();
        drawCuts(size, seed);
    }

    /** Plays one. */
    static Outcome play(long seed, Bug bug, Trace trace) {
        return new PairCutPlay(seed, bug, trace).play();
    }

    // Three voters: each pair each way. Five: each pair one way, another one with another seed.
    private void drawCuts(int size, long seed) {
        List<Cut> left = new ArrayList<>();
        Direction[] directions = Direction.values();
        for (int i = 0; i < size; i++) {
            for (int j = i + 1; j < size; j++) {
                if (size == SMALL) {
                    for (Direction d : directions) {
                        left.add(new Cut(i, j, d));
                    }
                } else {
                    left.add(new Cut(i, j, directions[(int) ((seed / SMALL + left.size()) % SMALL)]));
                }
            }
        }
        while (!left.isEmpty()) {
            cuts.add(left.remove(core.random().nextInt(left.size())));
        }
    }

    private Outcome play() {
        orders.start();
        core.agenda().in(FIRST, this::cutNext);
        core.agenda().every(LOOK, this::look);
        while (!over && !core.checker().anyBroken()) {
            core.agenda().run(core.now() + CALM, core.checker()::anyBroken);
        }
        orders.stopAndCheck();
        core.checker().judgeHistory();
        return core.checker().outcome();
    }

    private void cutNext() {
        if (cuts.isEmpty()) {
            over = faults.whole();
            core.agenda().in(LOOK, this::cutNext);
            return;
        }
        Cut cut = cuts.get(0);
        String one = ConsensusNode.address(voters.get(cut.first() % voters.size()));
        String other = ConsensusNode.address(voters.get(cut.second() % voters.size()));
        boolean room = faults.losses() < budget && core.at(one) != null && core.at(other) != null && !one.equals(other);
        if (!room) {
            core.agenda().in(LOOK, this::cutNext);
            return;
        }
        cuts.remove(0);
        begin(one, other, cut.direction());
        core.agenda().in(core.between(MIN_CUT, MAX_CUT), this::end);
    }

    private void begin(String one, String other, Direction direction) {
        core.tell(one + " and " + other + " are cut " + direction);
        core.checker().count("cuts, " + direction);
        first = one;
        second = other;
        faults.occupy(1);
        if (direction != Direction.BACK) {
            core.network().set(one, other, Network.Way.CUT);
        }
        if (direction != Direction.FORTH) {
            core.network().set(other, one, Network.Way.CUT);
        }
    }

    private void end() {
        core.tell(first + " and " + second + " reach each other");
        core.network().set(first, second, Network.Way.OPEN);
        core.network().set(second, first, Network.Way.OPEN);
        first = null;
        second = null;
        faults.occupy(0);
        core.agenda().in(core.between(MIN_PAUSE, MAX_PAUSE), this::cutNext);
    }

    private void look() {
        judgeSeats();
        judgeQuorum();
        if (first != null && core.random().nextInt(RARELY) == 0) {
            strike();
        }
    }

    private void strike() {
        List<Machine> targets = core.machines().stream()
                .filter(m -> !faults.lost(m.address()) && !m.leaving() && lossesWith(m.address()) <= budget)
                .toList();
        if (!targets.isEmpty()) {
            faults.strike(
                    targets.get(core.random().nextInt(targets.size())),
                    LOSSES.get(core.random().nextInt(LOSSES.size())));
        }
    }

    // What is lost once this one is lost too, the cut among it.
    private int lossesWith(String address) {
        boolean cutCounts =
                !address.equals(first) && !address.equals(second) && !faults.lost(first) && !faults.lost(second);
        return faults.losses() + 1 + (cutCounts ? 1 : 0);
    }

    private void judgeSeats() {
        Decision newest = core.checker().newest();
        List<String> now = newest == null ? voters : newest.voters();
        if (!now.equals(voters)) {
            core.checker().count("changes of the voters");
            voters.stream().filter(v -> !now.contains(v)).forEach(this::judgeRemoval);
            voters = now;
        }
    }

    private void judgeRemoval(String voter) {
        Machine m = core.at(ConsensusNode.address(voter));
        boolean same = m != null && m.id().equals(voter);
        if (same && m.up() && !m.leaving() && core.calm(m.address()) && m.contactWithin(Core.CONTACT)) {
            core.checker().broke(voter + " reaches a quorum and lost its vote");
        }
    }

    // One voter at least reaches a quorum, both ways.
    private void judgeQuorum() {
        List<Machine> there = voters.stream()
                .map(v -> core.at(ConsensusNode.address(v)))
                .filter(Objects::nonNull)
                .filter(m -> m.up() && voters.contains(m.id()))
                .toList();
        long most = there.stream()
                .mapToLong(
                        m -> there.stream().filter(o -> o == m || reach(m, o)).count())
                .max()
                .orElse(0);
        if (most < voters.size() / 2 + 1) {
            core.checker().broke("no voter reaches a quorum: " + most + " of " + voters);
        }
    }

    private boolean reach(Machine one, Machine other) {
        return core.network().open(one.address(), other.address())
                && core.network().open(other.address(), one.address());
    }
}
