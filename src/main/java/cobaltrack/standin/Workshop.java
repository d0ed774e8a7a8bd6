package cobaltrack.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The inside of a stand-in endpoint: cores, a queue in front of them and the law of service times. Work goes
 * on whether or not anybody still waits for it. It has no clock of its own: whoever owns it gives it one.
 */
final class Workshop {
    /** Time, in milliseconds since the run began, and what is to be done then. */
    interface Timer {
        double now();

        void at(double time, Runnable task);
    }

    /** One request at the endpoint; is told that its work begins, and once how it ended. */
    interface Visitor {
        int classIndex();

        /** Milliseconds of a core that it costs beyond its law. */
        default double extra() {
            return 0;
        }

        void begins();

        void ends(End end);
    }

    /** How a visit ended. */
    enum End { DONE, FULL, DIED }

    private static final double REPORT_WEIGHT = 0.1;

    private final EndpointScript script;
    private final Random dice;
    private final Timer timer;
    private final ArrayDeque<Visitor> waiting = new ArrayDeque<>();
    private final List<Visitor> working = new ArrayList<>();
    private double busy;
    private double gap;
    private double lastDone;

    Workshop(EndpointScript script, long seed, Timer timer) {
        this.script = script;
        this.dice = new Random(seed);
        this.timer = timer;
    }

    /** The process dies: all that it holds ends. */
    void die() {
        List<Visitor> held = new ArrayList<>(working);
        held.addAll(waiting);
        working.clear();
        waiting.clear();
        held.forEach(v -> v.ends(End.DIED));
    }

    void arrives(Visitor visitor) {
        if (working.size() < script.cores()) {
            work(visitor);
        } else if (waiting.size() < script.queueMost()) {
            waiting.add(visitor);
        } else {
            visitor.ends(End.FULL);
        }
    }

    private void work(Visitor visitor) {
        working.add(visitor);
        visitor.begins();
        double now = timer.now();
        double work = script.law().draw(dice, now, visitor.classIndex()) + visitor.extra();
        timer.at(now + work, () -> done(visitor));
    }

    private void done(Visitor visitor) {
        busy += ((double) working.size() / script.cores() - busy) * REPORT_WEIGHT;
        gap += (timer.now() - lastDone - gap) * REPORT_WEIGHT;
        lastDone = timer.now();
        // Not there any more if the process died meanwhile.
        if (working.remove(visitor)) {
            double away = script.lines().away().draw(dice, timer.now(), visitor.classIndex());
            if (away > 0) {
                timer.at(timer.now() + away, () -> visitor.ends(End.DONE));
            } else {
                visitor.ends(End.DONE);
            }
            if (!waiting.isEmpty() && working.size() < script.cores()) {
                work(waiting.poll());
            }
        }
    }

    /** The busy share of its cores, as a mean over the last answers. */
    double util() {
        return busy;
    }

    /** Answers a second, likewise. */
    double perSecond() {
        return gap > 0 ? 1000 / gap : 0;
    }
}
