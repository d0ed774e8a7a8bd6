package whinlead.testbed.replication;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import whinlead.plan.Calendar;

/** Draws faults and injects them into a simulated cluster; each ends by itself after a while. */
final class SimFaults {
    private static final int KINDS = 9;
    private static final int MIN_FREEZE_MS = 200;
    private static final int FREEZE_SPREAD_MS = 5000;
    private static final int MIN_CUT_MS = 500;
    private static final int CUT_SPREAD_MS = 4000;
    private static final int MIN_WEATHER_MS = 500;
    private static final int WEATHER_SPREAD_MS = 3000;
    private static final double MAX_WEATHER_SHARE = 0.5;
    private static final int DELAY_STEPS = 3;
    private static final double DELAY_STEP_MS = 400;
    private static final int DRAIN_SPREAD_MS = 100;
    private static final int MIN_DOWN_MS = 100;
    private static final int DOWN_SPREAD_MS = 3000;
    /** How much longer a machine that stays away is down. */
    private static final double AWAY_MS = 6000;

    private static final int LINK_DOWN_SPREAD_MS = 20;

    private final SimCluster cluster;
    private final Calendar calendar;
    private final Random random;
    private final Truth truth;
    private final Set<String> unreachable = new HashSet<>();
    private final LossLimit lossLimit;

    /** For a cluster. */
    SimFaults(SimCluster cluster) {
        this.cluster = cluster;
        this.calendar = cluster.calendar();
        this.random = cluster.random();
        this.truth = cluster.truth();
        this.lossLimit = new LossLimit(cluster, unreachable);
    }

    /** Injects a fault at random. */
    void inject() {
        SimMachine machine = cluster.randomMachine();
        switch (random.nextInt(KINDS)) {
            case 0, 1 -> kill(machine, false);
            case 2 -> kill(machine, true);
            case 3 -> freeze(machine);
            case 4 -> cut(machine, true, true);
            case 5 -> cut(machine, random.nextBoolean(), false);
            case 6 -> disturbNetwork();
            case 7 -> {
                truth.seen("drain");
                cluster.drainEndpoint(DRAIN_SPREAD_MS);
            }
            default -> cluster.leader(randomGroup()).ifPresent(leader -> kill(leader, false));
        }
    }

    private String randomGroup() {
        return "g" + (cluster.replacing() ? random.nextInt(cluster.groups().size()) : 0);
    }

    private void freeze(SimMachine machine) {
        truth.seen("freeze");
        machine.process().freeze(MIN_FREEZE_MS + random.nextInt(FREEZE_SPREAD_MS));
    }

    private void disturbNetwork() {
        truth.seen("bad weather");
        double lossShare = random.nextDouble() * MAX_WEATHER_SHARE;
        double duplicateShare = random.nextDouble() * MAX_WEATHER_SHARE;
        double delayMs = random.nextInt(DELAY_STEPS) * DELAY_STEP_MS;
        cluster.network().weather(lossShare, duplicateShare, delayMs);
        calendar.schedule(
                MIN_WEATHER_MS + random.nextInt(WEATHER_SPREAD_MS),
                () -> cluster.network().weather(0, 0, 0));
    }

    // Outbound, inbound, or both; inbound where neither is asked for.
    private void cut(SimMachine machine, boolean outbound, boolean inbound) {
        truth.seen("cut");
        for (SimMachine other : cluster.machines()) {
            if (outbound || !inbound) {
                cluster.network().cut(machine.name(), other.name());
            }
            if (inbound || !outbound) {
                cluster.network().cut(other.name(), machine.name());
            }
        }
        reportLinksDown(machine);
        unreachable.add(machine.name());
        calendar.schedule(MIN_CUT_MS + random.nextInt(CUT_SPREAD_MS), () -> {
            cluster.network().heal();
            unreachable.clear();
        });
    }

    private void kill(SimMachine machine, boolean withDisk) {
        boolean losesAll = withDisk || !machine.lasting();
        if (!machine.alive() || losesAll && !lossLimit.permits(machine)) {
            return;
        }
        truth.seen(losesAll ? "killed with its disk" : "killed");
        machine.kill();
        reportLinksDown(machine);
        if (losesAll) {
            machine.loseDisk();
        }
        boolean staysAway = cluster.replacing() && random.nextBoolean();
        if (staysAway) {
            truth.seen("stays away");
        }
        double downMs = MIN_DOWN_MS + random.nextInt(DOWN_SPREAD_MS) + (staysAway ? AWAY_MS : 0);
        calendar.schedule(downMs, () -> cluster.start(machine));
    }

    // Links that go down are seen at once, or not at all before what is silent is given up.
    private void reportLinksDown(SimMachine machine) {
        if (random.nextBoolean()) {
            for (SimMachine other : cluster.machines()) {
                if (other != machine && other.alive()) {
                    SimProcess process = other.process();
                    calendar.schedule(
                            random.nextInt(LINK_DOWN_SPREAD_MS),
                            () -> process.run(() -> other.host().down(machine.name())));
                }
            }
        }
    }
}
