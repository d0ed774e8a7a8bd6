package whinlead.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import whinlead.Contract;
import whinlead.membership.EndpointList;
import whinlead.membership.Membership;
import whinlead.membership.Source;

/**
 * Drives the module and carries out what it decides. It owns the requests taken, their attempts and timers, and sees to
 * it that each request ends exactly once and nothing is sent for it afterwards. It knows no protocol: fronts bring
 * requests with a {@link ResponseSink} for the end and a {@link Transport} for the attempts. Everything here runs on
 * the one thread that owns it, which is that of its timers.
 */
public final class Engine implements Contract.Actions, Membership {
    /** Taken off what the client waits, for its request's way here, our answer's way back and a late loop. */
    private static final double ANSWER_MARGIN = 25;
    /** How long after its deadline a request is failed that the module, told of the deadline, has not ended. */
    private static final double MODULE_GRACE = 5;

    private final Timers timers;
    private final Contract.Settings settings;
    private final Consumer<EndpointList> endpoints;
    private final Consumer<String> log;
    private final Contract.Events module;
    private final Map<Long, Held<?>> open = new HashMap<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private RequestListener journal = RequestListener.NONE;
    private Source source;
    private boolean telling;
    private long nextId;

    /**
     * An engine that has taken nothing.
     *
     * @param module makes the module that decides, given what carries its decisions out
     * @param endpoints hears of every list, before the module does
     */
    public Engine(
            Timers timers,
            Contract.Settings settings,
            Function<Contract.Actions, Contract.Events> module,
            Consumer<EndpointList> endpoints,
            Consumer<String> log) {
        this.timers = timers;
        this.settings = settings;
        this.endpoints = endpoints;
        this.log = log;
        this.module = module.apply(this);
    }

    /** Has every request that is taken from now on noted when it is over. */
    public void journal(RequestListener keeper) {
        journal = keeper;
    }

    /** Starts the module, with the list as last known, or null, and the source that it is to be watched at. */
    public void start(Source watched, EndpointList known) {
        source = watched;
        tell(() -> module.start(timers.now()));
        if (known != null) {
            list(Contract.ListKind.STALE, known);
        }
        if (!settings.listMustBeAsked()) {
            // A pushed list comes from an agent on this machine, which the module does not ask.
            source.watch();
        }
    }

    @Override
    public void list(Contract.ListKind kind, EndpointList list) {
        endpoints.accept(list);
        tell(() -> module.servers(timers.now(), kind, list.servers()));
    }

    @Override
    public void outOfReach() {
        tell(() -> module.servers(timers.now(), Contract.ListKind.FAILED, List.of()));
    }

    /**
     * Takes a request; the caller is told its end exactly once, within its time.
     *
     * @param transport sends its attempts
     */
    public <A> Held<A> take(Request ask, Transport<A> transport, ResponseSink<A> caller) {
        double left = Math.max(0, ask.timeout() - ANSWER_MARGIN);
        Held<A> h = new Held<>(
                new Contract.Request(nextId++, ask.classIndex(), ask.tenantIndex(), left, ask.repeat(), ask.room()),
                transport,
                caller,
                ask);
        open.put(h.request.id, h);
        tell(() -> {
            double now = timers.now();
            h.endAt = now + left;
            try {
                module.request(now, h.request);
            } finally {
                h.guard(now);
            }
        });
        return h;
    }

    /** Fails whatever is still held: the process is about to be killed, and no answer at all would lose it. */
    public void failAll() {
        // One that can't be told must not keep the rest from it.
        List.copyOf(open.values()).forEach(h -> run(h::endUnserved));
    }

    // An event may cause another before the module has returned from it: that one waits its turn.
    private void tell(Runnable event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Runnable e = events.poll(); e != null; e = events.poll()) {
                run(e);
            }
        } finally {
            telling = false;
        }
    }

    // Guards against a fault in one decision taking down all requests; the deadline ends this one.
    private void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError fault) {
            // The JVM leaves the trace out of a fault that it has seen often.
            StackTraceElement[] trace = fault.getStackTrace();
            log.accept("decision failed: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void send(Contract.Request r, String server, double within) {
        Held<?> h = open.get(r.id);
        if (h != null) {
            h.send(server, within);
        }
    }

    @Override
    public boolean connected(Contract.Request r, String server) {
        Held<?> h = open.get(r.id);
        return h == null || h.transport.connected(server);
    }

    @Override
    public void cancel(Contract.Request r, int attempt) {
        Held<?> h = open.get(r.id);
        if (h != null && attempt >= 0 && attempt < h.attempts.size()) {
            h.attempts.get(attempt).giveUp(Contract.Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(Contract.Request r, double retryAfter) {
        Held<?> h = open.get(r.id);
        if (h != null && !h.over) {
            h.over(h.mayRefuse() ? RequestListener.End.REFUSED : RequestListener.End.FAILED);
            if (h.mayRefuse()) {
                h.caller.refused(settings.limits().retryAfter() ? retryAfter : 0);
            } else {
                h.caller.failed();
            }
        }
    }

    @Override
    public void fail(Contract.Request r) {
        Held<?> h = open.get(r.id);
        if (h != null && !h.over) {
            h.over(RequestListener.End.FAILED);
            h.caller.failed();
        }
    }

    @Override
    public void probe(String server) {
        tell(() -> module.probed(timers.now(), server, Contract.Outcome.NEVER_SENT, 0, null));
    }

    @Override
    public void watchServers() {
        source.watch();
    }

    @Override
    public void tellPeers(byte[] text) {
        // The design shares nothing between sidecars; the module sends no such message.
    }

    @Override
    public void wake(double at) {
        timers.after(at - timers.now(), () -> tell(() -> module.wake(timers.now())));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    /** A request taken. It is kept until it is over and all its attempts have ended. */
    public final class Held<A> {
        private final Contract.Request request;
        private final Transport<A> transport;
        private final ResponseSink<A> caller;
        private final List<Attempt<A>> attempts = new ArrayList<>(1);
        private final Request ask;
        private double endAt;
        private boolean over;
        private Timers.Timer deadline;

        private Held(Contract.Request request, Transport<A> transport, ResponseSink<A> caller, Request ask) {
            this.ask = ask;
            this.request = request;
            this.transport = transport;
            this.caller = caller;
        }

        /** The client went away: nothing is owed any more. */
        public void abandon() {
            if (!over) {
                over(RequestListener.End.LEFT);
                tell(() -> module.abandoned(timers.now(), request));
            }
        }

        /**
         * The answer to an attempt has begun to reach the client by another way than the caller, which ends what the
         * request is owed; the outcome of the attempt is still to come.
         *
         * @param attempt as the transport was told it
         */
        public void streaming(int attempt) {
            if (!over) {
                over(RequestListener.End.SERVED);
                tell(() -> module.streaming(timers.now(), request, attempt));
            }
        }

        private void over(RequestListener.End end) {
            over = true;
            journal.over(ask, endAt - request.timeLeft, end);
            if (deadline != null) {
                deadline.cancel();
            }
            tidy();
        }

        private void tidy() {
            if (over && !out()) {
                open.remove(request.id);
            }
        }

        private boolean out() {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).outcome == null) {
                    return true;
                }
            }
            return false;
        }

        private boolean underWay() {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).underWay()) {
                    return true;
                }
            }
            return false;
        }

        // An attempt under way has a timer of its own, after which the module is asked again. A request with
        // none, be it that sending it failed by a fault, needs one here; for each it would be one more timer.
        private void guard(double now) {
            if (!over && deadline == null && !underWay()) {
                deadline = timers.after(endAt - now + MODULE_GRACE, this::endUnserved);
            }
        }

        // Guards against a module that leaves a request without an answer, by a fault say, and against a
        // kill.
        private void endUnserved() {
            if (!over) {
                over(RequestListener.End.FAILED);
                caller.failed();
                tell(() -> module.abandoned(timers.now(), request));
            }
        }

        // Rule 2, kept here as well as in the module: a refusal says that trying again does no harm.
        private boolean mayRefuse() {
            Contract.RequestClass k = settings.classes().get(request.classIndex);
            return k.effect() == Contract.Effect.SAFE
                    || k.effect() == Contract.Effect.KEYED && k.group() == Contract.Group.ALL
                    || attempts.stream().allMatch(a -> a.outcome != null && a.outcome.neverRan);
        }

        private void send(String server, double within) {
            double now = timers.now();
            Attempt<A> a = new Attempt<>(this, attempts.size(), now);
            attempts.add(a);
            if (over || now >= endAt || attempts.size() > settings.limits().attempts()) {
                a.ended(Contract.Outcome.NEVER_SENT, null, null);
                return;
            }
            double wait = within > 0 ? Math.min(within, endAt - now) : endAt - now;
            a.timer = timers.after(wait, () -> a.giveUp(Contract.Outcome.TIMED_OUT));
            a.sending = transport.send(server, a.index, wait, a);
        }
    }

    /** One attempt, whose outcome is told to the module exactly once. */
    private final class Attempt<A> implements Transport.Outcomes<A> {
        private final Held<A> held;
        private final int index;
        private final double sentAt;
        private Transport.Sending sending;
        private Timers.Timer timer;
        private Contract.Outcome outcome;

        private Attempt(Held<A> held, int index, double sentAt) {
            this.held = held;
            this.index = index;
            this.sentAt = sentAt;
        }

        // What was not yet written whole can't run, whatever the reason for giving it up.
        private void giveUp(Contract.Outcome reason) {
            if (underWay()) {
                ended(sending.giveUp() ? reason : Contract.Outcome.CONNECT_FAILED, null, null);
            }
        }

        private boolean underWay() {
            return outcome == null && sending != null;
        }

        @Override
        public void ended(Contract.Outcome how, A answer, Contract.Report report) {
            if (outcome != null) {
                return;
            }
            outcome = how;
            if (timer != null) {
                timer.cancel();
            }
            // Guards against events out of order: an answer may bring the client's next request at once,
            // which must wait until the module has heard of this outcome, or it would think the endpoint
            // still busy.
            tell(() -> {
                double now = timers.now();
                if (how == Contract.Outcome.SERVED && !held.over) {
                    held.over(RequestListener.End.SERVED);
                    held.caller.served(answer);
                }
                boolean finished = held.over;
                held.tidy();
                try {
                    module.outcome(now, held.request, index, how, now - sentAt, finished, report);
                } finally {
                    held.guard(now);
                }
            });
        }
    }
}
