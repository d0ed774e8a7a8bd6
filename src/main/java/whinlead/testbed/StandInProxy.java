package whinlead.testbed;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import whinlead.Contract;

/**
 * A stand-in for other people's proxies: asks for each request, sends it where it is told, reports, and does all that
 * proxies do wrong by a seed: resends on its own, loses, delays, doubles and garbles reports, is cut off, dies. What
 * truly ran goes into the ledger. For one loop.
 */
final class StandInProxy {
    /** One request in so many is resent on its own, and so on. */
    private static final int RESENT = 25;

    private static final int UNREPORTED = 200;
    private static final int BELATED = 100;
    private static final int DOUBLED = 100;
    private static final int GARBLED = 200;
    private static final double RESEND_WITHIN_MS = 40;
    /** So long after the client's time a belated report comes. */
    private static final double BELATED_MS = 50;
    /** Kept of the client's time, for this proxy's own answer. */
    private static final double MARGIN_MS = 20;

    /** What became of sends to endpoints that were told to drain. */
    static final class Drains {
        final Map<String, Double> since = new HashMap<>();
        int sentAfterGrace;
    }

    private final class One {
        final long id;
        final int classIndex;
        final double endBy;
        final boolean belated;
        boolean over;
        final int program = programs;

        One(long id, int classIndex, double endBy, boolean belated) {
            this.id = id;
            this.classIndex = classIndex;
            this.endBy = endBy;
            this.belated = belated;
        }
    }

    private final LoopTimer timer;
    private final AgentClient agent;
    private final List<String> classes;
    private final Map<String, Workshop> endpoints;
    private final Ledger ledger;
    private final Drains drains;
    private final double grace;
    private final double timeout;
    private final Random dice;
    private final Map<Long, One> open = new HashMap<>();
    private boolean errs = true;
    private boolean dead;
    private int programs;
    private int answers;

    StandInProxy(
            LoopTimer timer,
            AgentClient agent,
            List<String> classes,
            Map<String, Workshop> endpoints,
            Ledger ledger,
            Drains drains,
            double grace,
            double timeout,
            long seed) {
        this.timer = timer;
        this.agent = agent;
        this.classes = classes;
        this.endpoints = endpoints;
        this.ledger = ledger;
        this.drains = drains;
        this.grace = grace;
        this.timeout = timeout;
        this.dice = new Random(seed);
    }

    /** One that makes no mistakes, before endpoints that don't drain. */
    static StandInProxy wellBehaved(
            LoopTimer timer,
            AgentClient agent,
            Contract.Settings settings,
            Map<String, Workshop> endpoints,
            Ledger ledger,
            long seed) {
        StandInProxy proxy = new StandInProxy(
                timer,
                agent,
                settings.classes().stream().map(Contract.RequestClass::name).toList(),
                endpoints,
                ledger,
                new Drains(),
                settings.obligations().drainGrace(),
                Settings.DEADLINE,
                seed);
        proxy.errs = false;
        return proxy;
    }

    private boolean errs(int once) {
        return errs && dice.nextInt(once) == 0;
    }

    /** Calls that were answered. */
    int answers() {
        return answers;
    }

    /** Requests whose clients have had no answer yet. */
    int open() {
        return open.size();
    }

    /** A client asks this proxy. */
    void request(long id, int classIndex) {
        request(id, classIndex, false);
    }

    /** A client asks this proxy, which reports every attempt only after the client's time, and truly. */
    void requestReportedLate(long id, int classIndex) {
        request(id, classIndex, true);
    }

    private void request(long id, int classIndex, boolean belated) {
        double now = timer.nowMs();
        One one = new One(id, classIndex, now + timeout, belated);
        open.put(id, one);
        ledger.asked(id, classIndex, now, one.endBy);
        timer.at(one.endBy - MARGIN_MS, () -> end(one, Ledger.End.FAILED));
        ask(one);
        if (errs(RESENT)) {
            timer.at(now + dice.nextDouble() * RESEND_WITHIN_MS, () -> ask(one));
        }
    }

    private void ask(One one) {
        if (dead || one.program != programs) {
            return;
        }
        Map<String, String> arguments = new LinkedHashMap<>();
        arguments.put("id", Long.toString(one.id));
        arguments.put("class", classes.get(one.classIndex));
        double left = Math.max(1, one.endBy - timer.nowMs());
        arguments.put("timeout_ms", Long.toString((long) left));
        arguments.put("timeout", Double.toString(Math.rint(left) / 1000));
        agent.call("ask", arguments, said -> told(one, said));
    }

    private void told(One one, Map<String, String> said) {
        if (said == null) {
            // No answer: closed, not open, as its configuration says.
            end(one, Ledger.End.FAILED);
            return;
        }
        answers++;
        switch (said.getOrDefault("do", "")) {
            case "send" -> send(one, said.get("endpoint"), said.get("attempt"));
            case "refuse", "too_many" -> end(one, Ledger.End.REFUSED);
            case "fail" -> end(one, Ledger.End.FAILED);
            case "again" -> tryAgain(one);
            default -> {}
        }
    }

    // A response that its own rules for retries may have it ask again for; otherwise the client gets it.
    private void tryAgain(One one) {
        if (!one.over && (!errs || dice.nextBoolean())) {
            ask(one);
        } else {
            end(one, Ledger.End.FAILED);
        }
    }

    private void send(One one, String endpoint, String attempt) {
        if (dead) {
            return;
        }
        Double drained = drains.since.get(endpoint);
        if (drained != null && timer.nowMs() > drained + grace) {
            drains.sentAfterGrace++;
        }
        endpoints.get(endpoint).arrives(new Workshop.Visitor() {
            @Override
            public int classIndex() {
                return one.classIndex;
            }

            @Override
            public void begins() {
                ledger.ran(one.id);
            }

            @Override
            public void ends(Workshop.End how) {
                left(one, endpoint, attempt, how);
            }
        });
    }

    private void left(One one, String endpoint, String attempt, Workshop.End how) {
        if (dead) {
            return;
        }
        if (how == Workshop.End.DONE) {
            end(one, Ledger.End.SERVED);
        }
        if (!one.belated && errs(UNREPORTED)) {
            return;
        }
        Map<String, String> report = new LinkedHashMap<>();
        report.put("id", Long.toString(one.id));
        report.put("attempt", !one.belated && errs(GARBLED) ? "9" : attempt);
        report.put("endpoint", !one.belated && errs(GARBLED) ? "elsewhere" : endpoint);
        report.put(
                "outcome",
                switch (how) {
                    case DONE -> "served";
                    case FULL -> "full";
                    case DIED -> "reset";
                });
        if (one.belated || errs(BELATED)) {
            timer.at(one.endBy + BELATED_MS, () -> report(one, report));
            return;
        }
        report(one, report);
        if (errs(DOUBLED)) {
            agent.call("outcome", report, said -> {});
        }
    }

    private void report(One one, Map<String, String> report) {
        if (!dead) {
            agent.call("outcome", report, said -> told(one, said));
        }
    }

    // By its client's time it answers by itself, whatever the program says. What comes later and before that
    // answer was only held up by a stall of this loop, which is no deed of the program's.
    private void end(One one, Ledger.End how) {
        if (!one.over) {
            one.over = true;
            open.remove(one.id);
            double due = one.endBy - MARGIN_MS;
            boolean inTime = timer.nowMs() <= due;
            ledger.ended(one.id, inTime ? how : Ledger.End.FAILED, inTime ? timer.nowMs() : due);
        }
    }

    /**
     * The program that it asks is gone with all that it knew: what is open here fails, closed, and nothing that it was
     * asked about is asked anew.
     */
    void programLost() {
        agent.die();
        programs++;
        List.copyOf(open.values()).forEach(one -> end(one, Ledger.End.FAILED));
    }

    /** The program is back, at this address. */
    void programBack(SocketAddress address) {
        if (!dead) {
            agent.moved(address);
            agent.start();
        }
    }

    /** Its process dies: its clients hear that they failed, and it reports nothing more. */
    void die() {
        dead = true;
        agent.die();
        List.copyOf(open.values()).forEach(one -> end(one, Ledger.End.FAILED));
    }
}
