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
 * The core machines of one schedule with their network, clock and checks. All random choices come from one seed, so a
 * schedule is reproducible. Single-threaded.
 */
final class Core {
    /** Bounds of a deployment in milliseconds; the settings name them with an S at the end. */
    static final double CONTACT_MS = 3000;

    static final double ACK_MS = 5000;
    static final double SYNC_MS = 4000;
    static final double CONVERGE_MS = 2500;
    private static final double LOSS_SHARE = 0.02;
    /** {@code SeedLagS} in milliseconds. */
    private static final double SEED_LAG_MS = 3000;

    private static final int SEEDS = 3;
    private static final double DUPLICATE_SHARE = 0.02;

    private final Scheduler scheduler = new Scheduler();
    private final SplittableRandom random;
    private final Network network;
    private final Checker checker;
    private final Bug bug;
    private final Trace trace;
    private final List<String> founders = new ArrayList<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<String> seedList = new ArrayList<>();
    /** By address: the number of active faults, and when a fault last began or ended. */
    private final Map<String, Integer> activeFaults = new HashMap<>();

    private final Map<String, Double> lastFaultChangeMs = new HashMap<>();
    private double lastEventMs;
    private boolean checksContact;

    /** Founds a core of the given number of machines. */
    Core(long seed, Bug bug, Trace trace, int size) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
        this.trace = trace;
        this.network = new Network(scheduler, random);
        this.checker = new Checker(scheduler, bug, trace);
        network.setFaultShares(LOSS_SHARE, DUPLICATE_SHARE);
        for (int i = 0; i < size; i++) {
            founders.add((char) ('a' + i) + "#0");
        }
        founders.forEach(id -> add(
                ConsensusNode.address(id),
                new Disk.Entry(id, new Acceptor.State(Decision.founding(founders), Ballot.NONE, null))));
    }

    Scheduler scheduler() {
        return scheduler;
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

    /** The current time in milliseconds. */
    double nowMs() {
        return scheduler.nowMs();
    }

    /** A random number between the two bounds. */
    double randomBetween(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    /** Writes a line to the trace, if tracing is on. */
    void log(String what) {
        trace.write(nowMs(), what);
    }

    /** Whether tracing is on. */
    boolean isTraced() {
        return trace.isEnabled();
    }

    /** Starts a machine with the given entry on its disk, or an empty disk if null. */
    Machine add(String address, Disk.Entry entry) {
        Machine m = new Machine(this, address, entry);
        machines.put(address, m);
        scheduler.schedule(nowMs() == 0 ? 0 : SEED_LAG_MS, () -> seedList.add(address));
        m.boot();
        return m;
    }

    /** Removes a machine permanently. */
    void remove(Machine m) {
        m.down();
        machines.remove(m.address());
        scheduler.schedule(SEED_LAG_MS, () -> seedList.remove(m.address()));
    }

    /**
     * The seeds that a process on this machine gets at its start: three, from a list that lags. At least one of them
     * exists, since a machine without an existing seed can't be found by any other machine either.
     */
    List<String> seeds(String self) {
        if (nowMs() == 0) {
            return founders.stream().map(ConsensusNode::address).limit(SEEDS).toList();
        }
        List<String> remaining = new ArrayList<>(seedList);
        List<String> seeds = new ArrayList<>();
        List<String> present = remaining.stream()
                .filter(a -> machines.containsKey(a) && !a.equals(self))
                .toList();
        if (!present.isEmpty()) {
            seeds.add(present.get(random.nextInt(present.size())));
            remaining.removeAll(seeds);
        }
        while (seeds.size() < SEEDS && !remaining.isEmpty()) {
            seeds.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return seeds;
    }

    /** The machine at an address; null if there is none. */
    Machine machineAt(String address) {
        return machines.get(address);
    }

    /** All machines, up or not. */
    List<Machine> machines() {
        return List.copyOf(machines.values());
    }

    /** A random machine. */
    Machine randomMachine() {
        List<Machine> all = machines();
        return all.get(random.nextInt(all.size()));
    }

    /** A fault of a machine begins. */
    void faultBegan(String address) {
        activeFaults.merge(address, 1, Integer::sum);
        faultChanged(address);
    }

    /** A fault of a machine ends. */
    void faultEnded(String address) {
        activeFaults.merge(address, -1, Integer::sum);
        faultChanged(address);
    }

    private void faultChanged(String address) {
        lastFaultChangeMs.put(address, nowMs());
        lastEventMs = nowMs();
    }

    /** Whether a machine has been without a fault for {@link #CONTACT}. */
    boolean isUndisturbed(String address) {
        return activeFaults.getOrDefault(address, 0) == 0
                && nowMs() - lastFaultChangeMs.getOrDefault(address, 0.0) >= CONTACT_MS;
    }

    /** When a fault of any machine last began or ended. */
    double lastEventMs() {
        return lastEventMs;
    }

    /** From now on each claim of contact is checked against the messages that were exchanged. */
    void checkContact() {
        checksContact = true;
    }

    boolean checksContact() {
        return checksContact;
    }
}
