package whinlead.testbed.replication;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import whinlead.plan.Calendar;

/** A network between named parties that loses, delays, doubles and cuts, one way or both, by a seed. */
final class SimNet {
    private static final double QUICK_MS = 0.2;
    private static final double SLOW_MS = 8;

    private record Link(String from, String to) {}

    private final Calendar world;
    private final Random dice;
    private final Set<Link> cut = new HashSet<>();
    private double loss;
    private double doubled;
    private double late;

    SimNet(Calendar world, Random dice) {
        this.world = world;
        this.dice = dice;
    }

    /** Delivers once, twice or never. */
    void send(String from, String to, Runnable deliver) {
        if (dice.nextDouble() < loss) {
            return;
        }
        boolean twice = dice.nextDouble() < doubled;
        for (int i = 0; i < (twice ? 2 : 1); i++) {
            double delay = QUICK_MS + dice.nextDouble() * SLOW_MS + dice.nextDouble() * late;
            world.schedule(delay, () -> {
                // What is under way when the link is cut is lost with it.
                if (!cut.contains(new Link(from, to))) {
                    deliver.run();
                }
            });
        }
    }

    void cut(String from, String to) {
        cut.add(new Link(from, to));
    }

    /** From now on so many of all messages are lost and doubled, and come up to so much later. */
    void weather(double lossShare, double doubledShare, double lateMs) {
        loss = lossShare;
        doubled = doubledShare;
        late = lateMs;
    }

    void heal() {
        cut.clear();
        weather(0, 0, 0);
    }
}
