package whinlead.testbed.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import whinlead.plan.Calendar;

/**
 * One schedule of faults, drawn by a seed, over groups of sidecars that proxies consult: kills with and without the
 * disk, frozen processes, links that are cut one way or both, messages that are lost, late, duplicated and out of
 * order, skewed clocks, proxies that ask another machine on their own. Real engine, module, consultations, state and
 * consensus; simulated clock. The same seed plays the same schedule.
 */
public final class CopiesDay {
    /**
     * What came of it.
     *
     * @param broken promises, by kind, and how often
     * @param seen what happened, by kind, and how often: a schedule on which nothing did proves nothing
     */
    public record Result(Map<String, Integer> broken, Map<String, Integer> seen) {}

    /** What is seen of a group that does not come back, though no more were lost than it is to bear. */
    public static final String STOPPED = "stopped at the end";

    /** What is seen of a group that lacks a member at the end. */
    public static final String SHORT = "a seat short at the end";

    /** The groups of a fleet, and its machines that are first members of none. */
    private static final int FLEET_GROUPS = 2;

    private static final int FLEET_MEMBERS = 3;
    private static final int FLEET_SPARES = 2;
    /** Longer than a group needs to elect another leader, or there is none to replace a member. */
    private static final double REPLACE_AFTER_MS = 2500;

    private static final double SETTLE_MS = 3000;
    private static final double FAULTS_MS = 12_000;
    private static final double END_MS = 32_000;
    private static final int REQUESTS = 70;
    private static final int PROXIES = 3;
    private static final int MIN_FAULTS = 2;
    private static final int FAULTS_SPREAD = 8;

    private final SimCluster cluster;
    private final Calendar calendar;
    private final Random random;
    private final SimFaults faults;
    private final List<SimProxy> proxies = new ArrayList<>();

    private CopiesDay(SimCluster.Layout layout, long seed, Bug bug) {
        cluster = new SimCluster(layout, seed, bug);
        calendar = cluster.calendar();
        random = cluster.random();
        faults = new SimFaults(cluster);
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(SimProxy.named("p" + i));
        }
    }

    /** Plays the schedule of this seed over one group. */
    public static Result play(long seed, int members, Bug bug) {
        return new CopiesDay(new SimCluster.Layout(1, members, 0, 0), seed, bug).play();
    }

    /**
     * Plays the schedule of this seed over two groups of three and two spares, which replace members that stay away.
     * Any machine is asked for anything.
     */
    public static Result playFleet(long seed, Bug bug) {
        SimCluster.Layout layout = new SimCluster.Layout(FLEET_GROUPS, FLEET_MEMBERS, FLEET_SPARES, REPLACE_AFTER_MS);
        return new CopiesDay(layout, seed, bug).play();
    }

    private Result play() {
        cluster.start();
        for (int i = 0; i < REQUESTS; i++) {
            SimRequest request = new SimRequest(cluster, proxies, "r" + i);
            calendar.scheduleAt(randomTime(), request::begin);
        }
        int faultCount = MIN_FAULTS + random.nextInt(FAULTS_SPREAD);
        for (int i = 0; i < faultCount; i++) {
            calendar.scheduleAt(randomTime(), faults::inject);
        }
        calendar.scheduleAt(SETTLE_MS + FAULTS_MS, cluster.network()::heal);
        calendar.runUntil(END_MS);
        new FinalStateCheck(cluster).run();
        return new Result(cluster.truth().broken(), cluster.truth().seen());
    }

    // While faults are injected.
    private double randomTime() {
        return SETTLE_MS + random.nextDouble() * FAULTS_MS;
    }
}
