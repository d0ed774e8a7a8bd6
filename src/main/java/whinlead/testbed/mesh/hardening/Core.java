package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;

/**
 * The core machines of one schedule with all around them. All that is drawn comes from one seed, so the same seed plays
 * the same. One thread.
 */
final class Core {
    /** Bounds of a deployment, in milliseconds, as its settings name them with an S at the end. */
    static final double CONTACT = 3000;

    static final double ACK = 5000;
    static final double SYNC = 4000;
    static final double CONVERGE = 2500;
    private static final double LOSS = 0.02;
    /** {@code SeedLagS}, in milliseconds, and how many seeds there are. */
    private static final double SEED_LAG = 3000;

    private static final int SEEDS = 3;
    private static final double TWICE = 0.02;

    private final Agenda agenda = new Agenda();
    private final SplittableRandom random;
    private final Network network;
    private final Checker checker;
    private final Bug bug;
    private final Trace trace;
    private final List<String> founders = new ArrayList<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<String> listed = new ArrayList<>();
    /** By address: troubles that last, and when the last one began or ended. */
    private final Map<String, Integer> troubles = new HashMap<>();

    private final Map<String, Double> troubledAt = new HashMap<>();
    private double eventAt;
    private boolean judgesContact;

    /** A core of so many machines that is founded now. */
    Core(long seed, Bug bug, Trace trace, int size) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
        this.trace = trace;
        this.network = new Network(agenda, random);
        this.checker = new Checker(agenda, bug, trace);
        network.spoil(LOSS, TWICE);
        for (int i = 0; i < size; i++) {
            founders.add((char) ('a' + i) + "#0");
        }
        founders.forEach(id -> add(
                ConsensusNode.address(id),
                new Disk.Entry(id, new Acceptor.State(Decision.founding(founders), Ballot.NONE, null))));
    }

    Agenda agenda() {
        return agenda;
    }

    SplittableRandom random() {
        return random;
    }

    Network network() {
        return network;
    }

    Checker checker() {
        return checker;
    }

    Bug bug() {
        return bug;
    }

    List<String> founders() {
        return founders;
    }

    /** The time. */
    double now() {
        return agenda.now();
    }

    /** Drawn between the two. */
    double between(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    /** Tells it, if anyone listens. */
    void tell(String what) {
        trace.tell(now(), what);
    }

    /** Whether anyone listens. */
    boolean traced() {
        return trace.on();
    }

    /** Starts a machine with this on its disk, or nothing. */
    Machine add(String address, Disk.Entry entry) {
        Machine m = new Machine(this, address, entry);
        machines.put(address, m);
        agenda.in(now() == 0 ? 0 : SEED_LAG, () -> listed.add(address));
        m.boot();
        return m;
    }

    /** Takes a machine away for good. */
    void remove(Machine m) {
        m.down();
        machines.remove(m.address());
        agenda.in(SEED_LAG, () -> listed.remove(m.address()));
    }

    /**
     * The machines that a process on this one is told of as it starts: three, from a list that lags. One of them at
     * least is there: a machine that is told of none can't be found by any other either.
     */
    List<String> seeds(String self) {
        if (now() == 0) {
            return founders.stream().map(ConsensusNode::address).limit(SEEDS).toList();
        }
        List<String> left = new ArrayList<>(listed);
        List<String> seeds = new ArrayList<>();
        List<String> there = left.stream()
                .filter(a -> machines.containsKey(a) && !a.equals(self))
                .toList();
        if (!there.isEmpty()) {
            seeds.add(there.get(random.nextInt(there.size())));
            left.removeAll(seeds);
        }
        while (seeds.size() < SEEDS && !left.isEmpty()) {
            seeds.add(left.remove(random.nextInt(left.size())));
        }
        return seeds;
    }

    /** The machine at an address, or null. */
    Machine at(String address) {
        return machines.get(address);
    }

    /** All machines that there are, up or not. */
    List<Machine> machines() {
        return List.copyOf(machines.values());
    }

    /** One of them. */
    Machine any() {
        List<Machine> all = machines();
        return all.get(random.nextInt(all.size()));
    }

    /** A trouble of a machine begins. */
    void troubled(String address) {
        troubles.merge(address, 1, Integer::sum);
        touched(address);
    }

    /** It ends. */
    void eased(String address) {
        troubles.merge(address, -1, Integer::sum);
        touched(address);
    }

    private void touched(String address) {
        troubledAt.put(address, now());
        eventAt = now();
    }

    /** Whether a machine has been without trouble for {@link #CONTACT}. */
    boolean calm(String address) {
        return troubles.getOrDefault(address, 0) == 0 && now() - troubledAt.getOrDefault(address, 0.0) >= CONTACT;
    }

    /** When something last happened to any of them. */
    double eventAt() {
        return eventAt;
    }

    /** From now on each claim of contact is held against what was exchanged. */
    void judgeContact() {
        judgesContact = true;
    }

    boolean judgesContact() {
        return judgesContact;
    }
}
