package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The ways between machines, each direction by itself: open, cut, or holding back what is sent until it is open again,
 * when all of it arrives at once. On an open way messages take a drawn time, are lost, and come twice. One thread.
 */
final class Network {
    /** How a way stands. */
    enum Way {
        OPEN,
        CUT,
        HELD
    }

    private static final double NEAREST = 0.5;
    private static final double SPREAD = 2;
    /** The second of two comes so much later at most, in milliseconds. */
    private static final double TWIN_LATE = 400;

    private final Agenda agenda;
    private final SplittableRandom random;
    private final Map<String, Way> ways = new HashMap<>();
    private final Map<String, List<Runnable>> held = new HashMap<>();
    private double loss;
    private double twice;

    Network(Agenda agenda, SplittableRandom random) {
        this.agenda = agenda;
        this.random = random;
    }

    /** From now on such a share of all messages is lost, and such a share comes twice. */
    void spoil(double lost, double doubled) {
        loss = lost;
        twice = doubled;
    }

    /** Sets one direction. */
    void set(String from, String to, Way way) {
        String key = from + ">" + to;
        ways.put(key, way);
        if (way == Way.OPEN) {
            List<Runnable> late = held.remove(key);
            if (late != null) {
                agenda.in(NEAREST, () -> late.forEach(Runnable::run));
            }
        } else if (way == Way.CUT) {
            held.remove(key);
        }
    }

    /** Whether messages arrive in this direction. */
    boolean open(String from, String to) {
        return ways.getOrDefault(from + ">" + to, Way.OPEN) == Way.OPEN;
    }

    /** Sends as over a connection that is open: only cuts and what is held back stand against it. */
    void sendSurely(String from, String to, Runnable arrive) {
        double share = loss;
        double doubled = twice;
        spoil(0, 0);
        send(from, to, arrive);
        spoil(share, doubled);
    }

    /** Sends, now or never. */
    void send(String from, String to, Runnable arrive) {
        switch (ways.getOrDefault(from + ">" + to, Way.OPEN)) {
            case CUT -> {}
            case HELD ->
                held.computeIfAbsent(from + ">" + to, k -> new ArrayList<>()).add(arrive);
            default -> {
                if (random.nextDouble() >= loss) {
                    agenda.in(NEAREST + random.nextDouble() * SPREAD, arrive);
                    if (random.nextDouble() < twice) {
                        agenda.in(NEAREST + random.nextDouble() * TWIN_LATE, arrive);
                    }
                }
            }
        }
    }
}
