// The decisions of whinlead, one rule a file; their interface is Contract.java, a folder up.
package whinlead.decide;

import java.util.List;
import java.util.SplittableRandom;
import whinlead.Contract;

/**
 * Decides for one sidecar. For each server a drop percentage is learned from its outcomes. A request walks a small
 * random subset in random order; the first server whose draw passes gets it, and if none passes it is refused at once.
 * docs/design.md names what is kept of the source and when each exception acts.
 */
public final class Decide implements Contract.Events {
    // A period, as a share of the shortest aim, and the least: several steps fit in a client's wait.
    private static final double PERIOD_OF_AIM = 0.1;
    private static final double MIN_PERIOD = 10;
    // Retry-after, as shares of the aim: the least, and what a percentage of 100 adds.
    private static final double MIN_AFTER = 0.15;
    private static final double AFTER_FULL = 0.3;

    private final Contract.Settings settings;
    private final Contract.Actions out;
    private final SplittableRandom random;
    private final double period;
    final ServerList list;
    private final Subset subset;
    private final Worth worth;
    private final Lateness lateness;
    private final Controller controller;
    private final Crowding crowding;
    private final Ceiling ceiling = new Ceiling();
    private final boolean unreported;
    private final ColdBudget cold;
    private final Retries retries;
    private final Probes probes;
    private final Relief relief = new Relief();
    private final Strain strain;
    private double lastWake;
    private double wakeAt;

    /** A module for one sidecar; the same seed and events give the same actions. */
    public Decide(Contract.Settings settings, long seed, Contract.Actions out) {
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        double aim = settings.classes().stream()
                .mapToDouble(Contract.RequestClass::aim)
                .min()
                .orElse(Double.MAX_VALUE);
        this.period = Math.max(MIN_PERIOD, aim * PERIOD_OF_AIM);
        this.list = new ServerList(settings, random, out);
        this.subset = new Subset(settings.sidecars(), period);
        this.worth = new Worth(settings, random);
        this.unreported = settings.reporting() == Contract.Reporting.NONE;
        this.lateness = new Lateness(settings.classes());
        this.controller = new Controller(lateness);
        this.crowding = new Crowding(controller, aim, unreported, settings.sidecars());
        this.cold = new ColdBudget(settings, aim);
        this.retries = new Retries(settings.limits());
        this.probes = new Probes(settings, aim);
        this.strain = new Strain(aim);
    }

    @Override
    public void start(double now) {
        lastWake = now;
        list.start(now, settings.listMustBeAsked());
        wake(now, 0.5 + random.nextDouble());
    }

    private void wake(double now, double periods) {
        wakeAt = now + period * periods;
        out.wake(wakeAt);
    }

    @Override
    public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
        if (list.told(now, kind, entries)) {
            subset.pick(now, list.nodes.values());
        }
    }

    @Override
    public void request(double now, Contract.Request request) {
        if (request.state != null) {
            return;
        }
        Call c = new Call(now, request, settings.classes().get(request.classIndex), worth.arrived(request));
        request.state = c;
        retries.arrived();
        relief.asked++;
        probes.arrived();
        double own = strain.share(request.room, worth.lesser());
        if (own > 0 && random.nextDouble() < worth.dropShare(c.level, own)) {
            end(now, c);
        } else {
            place(now, c);
        }
    }

    private void place(double now, Call c) {
        Node n = walk(now, c);
        if (n == null) {
            end(now, c);
            return;
        }
        Attempt a = new Attempt(c, n, now);
        c.attempts.add(a);
        n.out.add(a);
        n.reported.since++;
        n.sends++;
        out.send(c.request, n.entry.id(), c.within(now));
    }

    // The walk: the subset in random order, an independent draw at each server, the first that passes.
    private Node walk(double now, Call c) {
        double over = unreported ? ceiling.share(subset.ranked, crowding) : 0;
        if (over > 0 && random.nextDouble() < worth.dropShare(c.level, over)) {
            return null;
        }
        // A small subset rarely holds another server that would discard a repeat: such a retry looks at all.
        Node[] s = c.grouped() ? subset.usable : subset.walked;
        crowding.look(now, s);
        Node spare = null;
        for (int left = s.length; left > 0; left--) {
            int j = random.nextInt(left);
            Node n = s[j];
            s[j] = s[left - 1];
            s[left - 1] = n;
            if (n.reach.shuns(now, n.out.count) || !c.mayGo(now, n) || !passes(now, c, n)) {
                continue;
            }
            // A small server comes later in the walk, and a sound one that is crowded; that refuses nothing.
            double first = n.weight * (1 - crowding.uneven(now, n) * crowding.sound(n));
            // Handshakes cost a busy server work: where we hold some, one with a free connection comes first.
            boolean free = n.out.count == 0 || out.connected(c.request, n.entry.id());
            if (free && (first >= 1 || random.nextDouble() < first)) {
                if (cold.take(now, n, subset.spread())) {
                    return n;
                }
            } else if (spare == null) {
                spare = n;
            }
        }
        return spare != null && cold.take(now, spare, subset.spread()) ? spare : null;
    }

    // The draws against a server: its percentage, and what it fails of this class.
    private boolean passes(double now, Call c, Node n) {
        double p = 1 - (1 - Math.max(n.percentage, 1 - cold.warmth(now, n))) * (1 - crowding.share(now, n));
        return random.nextDouble() >= worth.dropShare(c.level, p) && n.failing.passes(c.request.classIndex, random);
    }

    // Final answer without a further attempt: a refusal where it is true that a retry does no harm.
    private void end(double now, Call c) {
        c.ended = true;
        if (c.mayRefuse(now)) {
            relief.refused++;
            out.refuse(
                    c.request,
                    Math.min(
                            settings.limits().maxRetryAfter(),
                            c.type.aim()
                                    * (MIN_AFTER + AFTER_FULL * subset.shut())
                                    * (0.75 + 0.5 * random.nextDouble())));
        } else {
            out.fail(c.request);
        }
    }

    @Override
    public void outcome(
            double now,
            Contract.Request request,
            int attempt,
            Contract.Outcome outcome,
            double took,
            boolean finished,
            Contract.Report report) {
        Call c = (Call) request.state;
        Attempt a = c == null ? null : c.out(attempt);
        if (a == null) {
            return;
        }
        Node n = a.node;
        if (outcome == Contract.Outcome.SERVED) {
            n.out.overtake(now, a, Math.max(took, lateness.usual(request.classIndex)));
        }
        n.out.remove(a);
        n.reported.since--;
        n.reach.ended(now, period, outcome);
        list.forget(n);
        if (!outcome.neverRan && c.mayHaveRun == null) {
            c.mayHaveRun = a;
        }
        grade(n, a, outcome, took, request.classIndex, n.reported.strain(report, n.sendRate));
        c.ended |= finished || outcome == Contract.Outcome.SERVED;
        if (c.ended) {
            return;
        }
        if (retries.take(now, c, outcome)) {
            place(now, c);
        } else {
            end(now, c);
        }
    }

    private void grade(Node n, Attempt a, Contract.Outcome outcome, double took, int k, double strain) {
        // While the server answers other classes in time, a time-out tells of its own, as an error does.
        boolean silent = outcome == Contract.Outcome.TIMED_OUT
                && !a.passedByOwn
                && (a.passed && controller.timely(n) || n.failing.mostly(k));
        switch (silent ? Contract.Outcome.ERROR : outcome) {
            case SERVED -> {
                n.failing.note(k, settings.classes().size(), false);
                controller.note(n, lateness.of(took, k));
                n.evidence.note(strain, strain > 0 ? Reported.OUTCOMES : 0);
                n.answered += lateness.usual(k);
                cold.answered(n);
                ceiling.answered(lateness.usual(k), settings.classes().get(k).aim());
                lateness.answered(took, k);
                relief.answered++;
            }
            case FULL, TIMED_OUT -> controller.note(n, 1);
            case RESET -> controller.broke(n);
            // Tells of one server, or of the way to it, and not of load.
            case CONNECT_FAILED -> n.evidence.note(1, 1);
            case ERROR -> n.failing.note(k, settings.classes().size(), true);
            default -> {}
        }
    }

    @Override
    public void streaming(double now, Contract.Request request, int attempt) {
        Call c = (Call) request.state;
        if (c != null) {
            c.ended = true;
        }
    }

    @Override
    public void abandoned(double now, Contract.Request request) {
        Call c = (Call) request.state;
        if (c != null && !c.ended) {
            c.ended = true;
            // Only the last attempt of a request can be out.
            int last = c.attempts.size() - 1;
            if (c.out(last) != null && settings.limits().cancel()) {
                out.cancel(request, last);
            }
        }
    }

    @Override
    public void probed(double now, String server, Contract.Outcome outcome, double took, Contract.Report report) {
        Node n = list.nodes.get(server);
        if (n != null) {
            n.reported.probed(now, report);
        }
    }

    /** A known server's drop percentage, as a share. */
    public double dropShare(String server) {
        return list.nodes.get(server).percentage;
    }

    @Override
    public void message(double now, int from, byte[] text) {}

    @Override
    public void wake(double now) {
        double span = Math.max(1, now - lastWake);
        lastWake = now;
        worth.period();
        lateness.period(relief.period(span, subset.ranked), Math.max(0, now - wakeAt));
        strain.period(now - wakeAt, out);
        for (Node n : subset.ranked) {
            n.period(span);
            controller.step(now, n);
            n.failing.period();
        }
        if (subset.period()) {
            subset.pick(now, list.nodes.values());
        }
        ceiling.period(span);
        controller.period();
        cold.period(now, subset.ranked);
        subset.weigh();
        probes.period(now, subset.ranked, crowding, out);
        list.period(now);
        wake(now, 0.9 + 0.2 * random.nextDouble());
    }
}
