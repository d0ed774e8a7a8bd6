package whinlead.mesh.sidecar;

import java.util.List;
import java.util.function.Function;
import whinlead.Contract;

/**
 * Runs a balancer's periods without a timer while its service is idle. A balancer asks to be woken once a period, with
 * or without requests. Here it is woken at those times only while attempts are in flight or a request arrived in the
 * period before. The periods of an idle service are run later, all at once and each with the time that it was requested
 * for, before the next event; so the balancer takes the same steps as if it had been woken on time each period. An idle
 * balancer is woken once in {@link #SLEEP_MS} to run the periods that are due, so that the first request after a long
 * pause finds few of them. Sleeping balancers of one process wake up together.
 *
 * <p>Pure except for its collaborators; used by one thread; times in milliseconds on the clock of its events.
 */
public final class TicklessModule implements Contract.Events {
    /** Maximum time that an idle balancer sleeps. */
    static final double SLEEP_MS = 2000;
    /** Minimum time that it sleeps; a shorter sleep could not be told from a period. */
    private static final double MIN_SLEEP_MS = SLEEP_MS / 2;
    /** How early a timer may seem because clock readings are rounded. */
    private static final double ROUNDING_MS = 0.01;

    private final Contract.Actions actions;
    private final Contract.Events balancer;
    /** The time for which the balancer asked to be woken next. */
    private double nextPeriodMs = Double.POSITIVE_INFINITY;
    /** The time at which its sleep ends at the latest; infinite while no timer is set for that. */
    private double sleepEndMs = Double.POSITIVE_INFINITY;
    /** Whether a timer is set for {@link #nextPeriodMs}. */
    private boolean awake;

    private boolean requestReceived;
    private int attemptsInFlight;

    /**
     * Creates a module whose balancer is not started yet.
     *
     * @param actions carries out what the balancer decides, and wakes this module
     * @param balancer creates the balancer with the given actions
     */
    public TicklessModule(Contract.Actions actions, Function<Contract.Actions, Contract.Events> balancer) {
        this.actions = actions;
        this.balancer = balancer.apply(new WatchedActions(actions));
    }

    @Override
    public void start(double nowMs) {
        balancer.start(nowMs);
        sleep(nowMs);
    }

    @Override
    public void servers(double nowMs, Contract.ListKind kind, List<Contract.Server> entries) {
        runDuePeriods(nowMs);
        balancer.servers(nowMs, kind, entries);
    }

    @Override
    public void request(double nowMs, Contract.Request request) {
        runDuePeriods(nowMs);
        requestReceived = true;
        stayAwake();
        balancer.request(nowMs, request);
    }

    @Override
    public void outcome(
            double nowMs,
            Contract.Request request,
            int attempt,
            Contract.Outcome outcome,
            double tookMs,
            boolean finished,
            Contract.Report report) {
        runDuePeriods(nowMs);
        attemptsInFlight--;
        balancer.outcome(nowMs, request, attempt, outcome, tookMs, finished, report);
    }

    @Override
    public void streaming(double nowMs, Contract.Request request, int attempt) {
        runDuePeriods(nowMs);
        balancer.streaming(nowMs, request, attempt);
    }

    @Override
    public void abandoned(double nowMs, Contract.Request request) {
        runDuePeriods(nowMs);
        balancer.abandoned(nowMs, request);
    }

    @Override
    public void probed(double nowMs, String server, Contract.Outcome outcome, double tookMs, Contract.Report report) {
        runDuePeriods(nowMs);
        balancer.probed(nowMs, server, outcome, tookMs, report);
    }

    @Override
    public void message(double nowMs, int from, byte[] text) {
        runDuePeriods(nowMs);
        balancer.message(nowMs, from, text);
    }

    @Override
    public void wake(double nowMs) {
        if (nowMs >= sleepEndMs - ROUNDING_MS) {
            sleepEndMs = Double.POSITIVE_INFINITY;
            runDuePeriods(nowMs);
        } else if (awake) {
            runAwake(nowMs);
        }
        if (!awake) {
            sleep(nowMs);
        }
    }

    // With the actual time, not the planned one: the balancer sheds load by how late its periods are.
    private void runAwake(double nowMs) {
        awake = false;
        boolean busy = requestReceived || attemptsInFlight > 0;
        requestReceived = false;
        balancer.wake(nowMs);
        if (busy) {
            stayAwake();
        }
    }

    private void runDuePeriods(double nowMs) {
        while (!awake && nextPeriodMs <= nowMs) {
            double periodMs = nextPeriodMs;
            nextPeriodMs = Double.POSITIVE_INFINITY;
            balancer.wake(periodMs);
        }
    }

    private void stayAwake() {
        if (!awake && nextPeriodMs < Double.POSITIVE_INFINITY) {
            awake = true;
            actions.wake(nextPeriodMs);
        }
    }

    // At a multiple of the sleep time, which is the same for all balancers of this process.
    private void sleep(double nowMs) {
        if (sleepEndMs == Double.POSITIVE_INFINITY) {
            sleepEndMs = Math.ceil((nowMs + MIN_SLEEP_MS) / SLEEP_MS) * SLEEP_MS;
            actions.wake(sleepEndMs);
        }
    }

    /** Records when the balancer sends and when it asks to be woken; passes everything else on. */
    private final class WatchedActions implements Contract.Actions {
        private final Contract.Actions actions;

        private WatchedActions(Contract.Actions actions) {
            this.actions = actions;
        }

        @Override
        public void send(Contract.Request request, String server, double withinMs) {
            attemptsInFlight++;
            actions.send(request, server, withinMs);
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
        public void refuse(Contract.Request request, double retryAfterMs) {
            actions.refuse(request, retryAfterMs);
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
        public void sendToPeers(byte[] text) {
            actions.sendToPeers(text);
        }

        @Override
        public void wake(double wakeAtMs) {
            nextPeriodMs = wakeAtMs;
        }

        @Override
        public void log(String line) {
            actions.log(line);
        }
    }
}
