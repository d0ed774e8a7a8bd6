package whinlead.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The inside of a stand-in endpoint: cores, a queue in front of them and the law of service times. Work goes on whether
 * or not anybody still waits for it. It has no clock of its own: whoever owns it gives it one.
 */
final class Workshop {
    /** Time, in milliseconds since the run began, and what is to be done then. */
    interface Timer {
        double nowMs();

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
    enum End {
        DONE,
        FULL,
        DIED
    }

    private record Waiting(Visitor visitor, double since) {}

    private static final double REPORT_WEIGHT = 0.1;

    private final EndpointScript script;
    private final Random dice;
    private final Timer timer;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
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
        waiting.forEach(w -> held.add(w.visitor()));
        working.clear();
        waiting.clear();
        held.forEach(v -> v.ends(End.DIED));
    }

    void arrives(Visitor visitor) {
        if (working.size() < script.cores()) {
            work(visitor, timer.nowMs());
        } else if (waiting.size() < script.queueMost()) {
            waiting.add(new Waiting(visitor, timer.nowMs()));
        } else {
            visitor.ends(End.FULL);
        }
    }

    // What waited begins when the one before was to end: a timer that comes late would make all work longer.
    private void work(Visitor visitor, double from) {
        working.add(visitor);
        visitor.begins();
        double to = from + script.law().draw(dice, from, visitor.classIndex()) + visitor.extra();
        timer.at(to, () -> done(visitor, to));
    }

    private void done(Visitor visitor, double due) {
        busy += ((double) working.size() / script.cores() - busy) * REPORT_WEIGHT;
        gap += (timer.nowMs() - lastDone - gap) * REPORT_WEIGHT;
        lastDone = timer.nowMs();
        // Not there any more if the process died meanwhile.
        if (working.remove(visitor)) {
            double away = script.lines().away().draw(dice, due, visitor.classIndex());
            if (away > 0) {
                timer.at(due + away, () -> visitor.ends(End.DONE));
            } else {
                visitor.ends(End.DONE);
            }
            if (!waiting.isEmpty() && working.size() < script.cores()) {
                Waiting next = waiting.poll();
                work(next.visitor(), Math.max(due, next.since()));
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
