package whinlead.mesh.sidecar;

import java.util.List;
import java.util.function.Function;
import whinlead.Contract;

/**
 * Runs a balancer's periods without a timer while its service is idle. A balancer asks to be woken once a period, with
 * or without requests. Here it is woken at those times only while attempts are out or a request came in the period
 * before. The periods of an idle service are run later, in one go and each at the time that it was asked for, before
 * the next event; so the balancer takes the same steps as if it had been woken on time each period. An idle balancer is
 * woken once in {@link #SLEEP_MS} for the periods that are due, so that a first request after a long pause finds few of
 * them. Sleeping balancers of one process wake together.
 *
 * <p>Pure but for what it is given; one thread; times in milliseconds on the clock of its events.
 */
public final class TicklessModule implements Contract.Events {
    /** How long an idle balancer sleeps at most. */
    static final double SLEEP_MS = 2000;
    /** A shorter sleep would not be told apart from a period. */
    private static final double MIN_SLEEP_MS = SLEEP_MS / 2;
    /** By how much a timer may seem early, for clocks round. */
    private static final double ROUNDING_MS = 0.01;

    private final Contract.Actions timers;
    private final Contract.Events balancer;
    /** When the balancer asked to be woken next. */
    private double periodAt = Double.POSITIVE_INFINITY;
    /** When it is woken from its sleep at the latest; infinite while no such timer is set. */
    private double sleepEndsAt = Double.POSITIVE_INFINITY;
    /** Whether a timer is set for {@link #periodAt}. */
    private boolean awake;

    private boolean requested;
    private int attemptsOut;

    /**
     * A balancer that is not started yet.
     *
     * @param actions carries out what the balancer decides, and wakes this
     * @param balancer makes the balancer, given what carries its decisions out
     */
    public TicklessModule(Contract.Actions actions, Function<Contract.Actions, Contract.Events> balancer) {
        this.timers = actions;
        this.balancer = balancer.apply(new WatchedActions(actions));
    }

    @Override
    public void start(double now) {
        balancer.start(now);
        sleep(now);
    }

    @Override
    public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
        catchUp(now);
        balancer.servers(now, kind, entries);
    }

    @Override
    public void request(double now, Contract.Request request) {
        catchUp(now);
        requested = true;
        stayAwake();
        balancer.request(now, request);
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
        catchUp(now);
        attemptsOut--;
        balancer.outcome(now, request, attempt, outcome, took, finished, report);
    }

    @Override
    public void streaming(double now, Contract.Request request, int attempt) {
        catchUp(now);
        balancer.streaming(now, request, attempt);
    }

    @Override
    public void abandoned(double now, Contract.Request request) {
        catchUp(now);
        balancer.abandoned(now, request);
    }

    @Override
    public void probed(double now, String server, Contract.Outcome outcome, double took, Contract.Report report) {
        catchUp(now);
        balancer.probed(now, server, outcome, took, report);
    }

    @Override
    public void message(double now, int from, byte[] text) {
        catchUp(now);
        balancer.message(now, from, text);
    }

    @Override
    public void wake(double now) {
        if (now >= sleepEndsAt - ROUNDING_MS) {
            sleepEndsAt = Double.POSITIVE_INFINITY;
            catchUp(now);
        } else if (awake) {
            runAwake(now);
        }
        if (!awake) {
            sleep(now);
        }
    }

    // At the true time, not the planned one: the balancer sheds load by how late its periods are.
    private void runAwake(double now) {
        awake = false;
        boolean busy = requested || attemptsOut > 0;
        requested = false;
        balancer.wake(now);
        if (busy) {
            stayAwake();
        }
    }

    private void catchUp(double now) {
        while (!awake && periodAt <= now) {
            double at = periodAt;
            periodAt = Double.POSITIVE_INFINITY;
            balancer.wake(at);
        }
    }

    private void stayAwake() {
        if (!awake && periodAt < Double.POSITIVE_INFINITY) {
            awake = true;
            timers.wake(periodAt);
        }
    }

    // At a multiple of the sleep, which is the same moment for all balancers of this process.
    private void sleep(double now) {
        if (sleepEndsAt == Double.POSITIVE_INFINITY) {
            sleepEndsAt = Math.ceil((now + MIN_SLEEP_MS) / SLEEP_MS) * SLEEP_MS;
            timers.wake(sleepEndsAt);
        }
    }

    /** Hears when the balancer sends and when it asks to be woken; passes on all else. */
    private final class WatchedActions implements Contract.Actions {
        private final Contract.Actions actions;

        private WatchedActions(Contract.Actions actions) {
            this.actions = actions;
        }

        @Override
        public void send(Contract.Request request, String server, double within) {
            attemptsOut++;
            actions.send(request, server, within);
        }

        @Override
        public boolean connected(Contract.Request request, String server) {
            return actions.connected(request, server);
        }

        @Override
        public void cancel(Contract.Request request, int attempt) {
            actions.cancel(request, attempt);
        }

        @Override
        public void refuse(Contract.Request request, double retryAfter) {
            actions.refuse(request, retryAfter);
        }

        @Override
        public void fail(Contract.Request request) {
            actions.fail(request);
        }

        @Override
        public void probe(String server) {
            actions.probe(server);
        }

        @Override
        public void watchServers() {
            actions.watchServers();
        }

        @Override
        public void tellPeers(byte[] text) {
            actions.tellPeers(text);
        }

        @Override
        public void wake(double at) {
            periodAt = at;
        }

        @Override
        public void log(String line) {
            actions.log(line);
        }
    }
}
