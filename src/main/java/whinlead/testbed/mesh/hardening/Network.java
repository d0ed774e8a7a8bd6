package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The links between machines, each direction separately: open, cut, or holding messages until the link is open again,
 * when all of them arrive at once. Messages on an open link have a random delay and may be lost or duplicated.
 * Single-threaded.
 */
final class Network {
    /** The state of one direction of a link. */
    enum Link {
        OPEN,
        CUT,
        HELD
    }

    private static final double MIN_DELAY_MS = 0.5;
    private static final double DELAY_SPREAD_MS = 2;
    /** The maximum additional delay of a duplicate, in milliseconds. */
    private static final double DUPLICATE_DELAY_MS = 400;

    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, List<Runnable>> held = new HashMap<>();
    private double lossShare;
    private double duplicateShare;

    Network(Scheduler scheduler, SplittableRandom random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Sets the shares of messages that are lost and duplicated from now on. */
    void setFaultShares(double lost, double doubled) {
        lossShare = lost;
        duplicateShare = doubled;
    }

    /** Sets the state of one direction. */
    void set(String from, String to, Link way) {
        String key = from + ">" + to;
        links.put(key, way);
        if (way == Link.OPEN) {
            List<Runnable> late = held.remove(key);
            if (late != null) {
                scheduler.schedule(MIN_DELAY_MS, () -> late.forEach(Runnable::run));
            }
        } else if (way == Link.CUT) {
            held.remove(key);
        }
    }

    /** Whether this direction is open. */
    boolean isOpen(String from, String to) {
        return links.getOrDefault(from + ">" + to, Link.OPEN) == Link.OPEN;
    }

    /** Sends as over an open connection: neither lost nor duplicated, but affected by cut and held links. */
    void sendReliably(String from, String to, Runnable arrive) {
        double savedLoss = lossShare;
        double savedDuplicate = duplicateShare;
        setFaultShares(0, 0);
        send(from, to, arrive);
        setFaultShares(savedLoss, savedDuplicate);
    }

    /** Sends a message, which may be lost, delayed or duplicated. */
    void send(String from, String to, Runnable arrive) {
        switch (links.getOrDefault(from + ">" + to, Link.OPEN)) {
            case CUT -> {}
            case HELD ->
                held.computeIfAbsent(from + ">" + to, k -> new ArrayList<>()).add(arrive);
            default -> {
                if (random.nextDouble() >= lossShare) {
                    scheduler.schedule(MIN_DELAY_MS + random.nextDouble() * DELAY_SPREAD_MS, arrive);
                    if (random.nextDouble() < duplicateShare) {
                        scheduler.schedule(MIN_DELAY_MS + random.nextDouble() * DUPLICATE_DELAY_MS, arrive);
                    }
                }
            }
        }
    }
}
