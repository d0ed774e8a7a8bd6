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
 * Drives the decision module and carries out its decisions. It owns the accepted requests, their attempts and timers,
 * and guarantees that each request ends exactly once and that nothing is sent for it afterwards. It depends on no
 * protocol: a front passes in each request with a {@link ResponseSink} for the result and a {@link Transport} for the
 * attempts. All code here runs on the thread of its timers.
 */
public final class Engine implements Contract.Actions, Membership {
    /** Subtracted from the client's time-out, for the transit of request and answer and for delays of the loop. */
    private static final double ANSWER_MARGIN_MS = 25;
    /** How long after its deadline a request is failed if the module has not ended it by then. */
    private static final double MODULE_GRACE_MS = 5;

    private final Timers timers;
    private final Contract.Settings settings;
    private final Consumer<EndpointList> endpointListener;
    private final Consumer<String> log;
    private final Contract.Events module;
    private final Map<Long, PendingRequest<?>> pendingRequests = new HashMap<>();
    private final ArrayDeque<Runnable> queuedEvents = new ArrayDeque<>();
    private RequestListener requestListener = RequestListener.NONE;
    private Source listSource;
    private boolean dispatching;
    private boolean stopped;
    private long nextId;

    /**
     * Creates an engine without requests.
     *
     * @param module creates the decision module, given the actions that carry out its decisions
     * @param endpointListener receives every list, before the module does
     */
    public Engine(
            Timers timers,
            Contract.Settings settings,
            Function<Contract.Actions, Contract.Events> module,
            Consumer<EndpointList> endpointListener,
            Consumer<String> log) {
        this.timers = timers;
        this.settings = settings;
        this.endpointListener = endpointListener;
        this.log = log;
        this.module = module.apply(this);
    }

    /** Sets the listener that is notified of the end of each request from now on. */
    public void requestListener(RequestListener listener) {
        requestListener = listener;
    }

    /** Starts the module with the last known list, which may be null, and the source of further lists. */
    public void start(Source source, EndpointList lastKnown) {
        listSource = source;
        dispatch(() -> module.start(timers.nowMs()));
        if (lastKnown != null) {
            listReceived(Contract.ListKind.STALE, lastKnown);
        }
        if (!settings.listMustBeRequested()) {
            // A pushed list comes from an agent on this machine, so the module does not request it.
            listSource.watch();
        }
    }

    @Override
    public void listReceived(Contract.ListKind kind, EndpointList list) {
        endpointListener.accept(list);
        dispatch(() -> module.servers(timers.nowMs(), kind, list.servers()));
    }

    @Override
    public void sourceUnreachable() {
        dispatch(() -> module.servers(timers.nowMs(), Contract.ListKind.FAILED, List.of()));
    }

    /**
     * Accepts a request. The sink receives its result exactly once, before the client's time-out.
     *
     * @param transport sends the attempts
     */
    public <A> PendingRequest<A> accept(Request request, Transport<A> transport, ResponseSink<A> sink) {
        double timeLeftMs = Math.max(0, request.timeoutMs() - ANSWER_MARGIN_MS);
        PendingRequest<A> pending = new PendingRequest<>(
                new Contract.Request(
                        nextId++,
                        request.classIndex(),
                        request.tenantIndex(),
                        timeLeftMs,
                        request.repeat(),
                        request.freeShare()),
                transport,
                sink,
                request);
        pendingRequests.put(pending.request.id, pending);
        dispatch(() -> {
            double nowMs = timers.nowMs();
            pending.deadlineMs = nowMs + timeLeftMs;
            try {
                module.request(nowMs, pending.request);
            } finally {
                pending.ensureDeadlineTimer(nowMs);
            }
        });
        return pending;
    }

    /** Ends the module's periodic work once no request is pending. No request may be accepted afterwards. */
    public void stop() {
        stopped = true;
    }

    /** Fails all pending requests: the process is about to be killed, and they would otherwise get no answer. */
    public void failAll() {
        // A sink that throws must not prevent the other answers.
        List.copyOf(pendingRequests.values()).forEach(pending -> runGuarded(pending::failUnanswered));
    }

    // An event may cause another one before the module has returned; that one is queued.
    private void dispatch(Runnable event) {
        queuedEvents.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Runnable next = queuedEvents.poll(); next != null; next = queuedEvents.poll()) {
                runGuarded(next);
            }
        } finally {
            dispatching = false;
        }
    }

    // An exception in one decision must not affect other requests; this request ends at its deadline.
    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError fault) {
            // The JVM omits the stack trace of an exception that is thrown often.
            StackTraceElement[] trace = fault.getStackTrace();
            log.accept("decision failed: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void send(Contract.Request request, String server, double timeoutMs) {
        PendingRequest<?> pending = pendingRequests.get(request.id);
        if (pending != null) {
            pending.send(server, timeoutMs);
        }
    }

    @Override
    public boolean connected(Contract.Request request, String server) {
        PendingRequest<?> pending = pendingRequests.get(request.id);
        return pending == null || pending.transport.connected(server);
    }

    @Override
    public void cancel(Contract.Request request, int attempt) {
        PendingRequest<?> pending = pendingRequests.get(request.id);
        if (pending != null && attempt >= 0 && attempt < pending.attempts.size()) {
            pending.attempts.get(attempt).abort(Contract.Outcome.CANCELLED);
        }
    }

    @Override
    public void refuse(Contract.Request request, double retryAfterMs) {
        PendingRequest<?> pending = pendingRequests.get(request.id);
        if (pending != null && !pending.ended) {
            pending.ended(pending.mayRefuse() ? RequestListener.Result.REFUSED : RequestListener.Result.FAILED);
            if (pending.mayRefuse()) {
                pending.sink.refused(settings.limits().retryAfter() ? retryAfterMs : 0);
            } else {
                pending.sink.failed();
            }
        }
    }

    @Override
    public void fail(Contract.Request request) {
        PendingRequest<?> pending = pendingRequests.get(request.id);
        if (pending != null && !pending.ended) {
            pending.ended(RequestListener.Result.FAILED);
            pending.sink.failed();
        }
    }

    @Override
    public void probe(String server) {
        dispatch(() -> module.probed(timers.nowMs(), server, Contract.Outcome.NEVER_SENT, 0, null));
    }

    @Override
    public void watchServers() {
        listSource.watch();
    }

    @Override
    public void sendToPeers(byte[] message) {
        // Sidecars share nothing by design; the module sends no such message.
    }

    @Override
    public void wake(double timeMs) {
        if (stopped && pendingRequests.isEmpty()) {
            return;
        }
        timers.schedule(timeMs - timers.nowMs(), () -> dispatch(() -> module.wake(timers.nowMs())));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    /** An accepted request. It is retained until it and all its attempts have ended. */
    public final class PendingRequest<A> {
        private final Contract.Request request;
        private final Transport<A> transport;
        private final ResponseSink<A> sink;
        private final List<Attempt<A>> attempts = new ArrayList<>(1);
        private final Request frontRequest;
        private double deadlineMs;
        private boolean ended;
        private Timers.TimerHandle deadlineTimer;

        private PendingRequest(
                Contract.Request request, Transport<A> transport, ResponseSink<A> sink, Request frontRequest) {
            this.frontRequest = frontRequest;
            this.request = request;
            this.transport = transport;
            this.sink = sink;
        }

        /** The client has disconnected; no answer is due any more. */
        public void abandon() {
            if (!ended) {
                ended(RequestListener.Result.LEFT);
                dispatch(() -> module.abandoned(timers.nowMs(), request));
            }
        }

        /**
         * The answer to an attempt has begun to reach the client by another way than the sink, which ends the request;
         * the outcome of the attempt follows later.
         *
         * @param attempt index of the attempt, as passed to the transport
         */
        public void streaming(int attempt) {
            if (!ended) {
                ended(RequestListener.Result.SERVED);
                dispatch(() -> module.streaming(timers.nowMs(), request, attempt));
            }
        }

        private void ended(RequestListener.Result result) {
            ended = true;
            requestListener.requestEnded(frontRequest, deadlineMs - request.timeLeft, result);
            if (deadlineTimer != null) {
                deadlineTimer.cancel();
            }
            removeIfDone();
        }

        private void removeIfDone() {
            if (ended && !hasOutstandingAttempts()) {
                pendingRequests.remove(request.id);
            }
        }

        private boolean hasOutstandingAttempts() {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).outcome == null) {
                    return true;
                }
            }
            return false;
        }

        private boolean hasAttemptInProgress() {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).inProgress()) {
                    return true;
                }
            }
            return false;
        }

        // An attempt in progress has its own timer, after which the module decides again. A request without one, for
        // instance because sending threw an exception, needs a timer here. Not set for every request, to save timers.
        private void ensureDeadlineTimer(double nowMs) {
            if (!ended && deadlineTimer == null && !hasAttemptInProgress()) {
                deadlineTimer = timers.schedule(deadlineMs - nowMs + MODULE_GRACE_MS, this::failUnanswered);
            }
        }

        // Called when the module left a request without an answer, for instance because of an exception, and before the
        // process is killed.
        private void failUnanswered() {
            if (!ended) {
                ended(RequestListener.Result.FAILED);
                sink.failed();
                dispatch(() -> module.abandoned(timers.nowMs(), request));
            }
        }

        // Rule 2, enforced here as well as in the module: a refusal promises that a retry does no harm.
        private boolean mayRefuse() {
            Contract.RequestClass requestClass = settings.classes().get(request.classIndex);
            return requestClass.effect() == Contract.Effect.SAFE
                    || requestClass.effect() == Contract.Effect.KEYED && requestClass.dedupGroup() == Contract.Group.ALL
                    || attempts.stream().allMatch(a -> a.outcome != null && a.outcome.neverRan);
        }

        private void send(String server, double requestedTimeoutMs) {
            double nowMs = timers.nowMs();
            Attempt<A> attempt = new Attempt<>(this, attempts.size(), nowMs);
            attempts.add(attempt);
            if (ended
                    || nowMs >= deadlineMs
                    || attempts.size() > settings.limits().attempts()) {
                attempt.ended(Contract.Outcome.NEVER_SENT, null, null);
                return;
            }
            double timeoutMs =
                    requestedTimeoutMs > 0 ? Math.min(requestedTimeoutMs, deadlineMs - nowMs) : deadlineMs - nowMs;
            attempt.timer = timers.schedule(timeoutMs, () -> attempt.abort(Contract.Outcome.TIMED_OUT));
            attempt.handle = transport.send(server, attempt.index, timeoutMs, attempt);
        }
    }

    /** One attempt, whose outcome is reported to the module exactly once. */
    private final class Attempt<A> implements Transport.OutcomeListener<A> {
        private final PendingRequest<A> pending;
        private final int index;
        private final double sentAtMs;
        private Transport.AttemptHandle handle;
        private Timers.TimerHandle timer;
        private Contract.Outcome outcome;

        private Attempt(PendingRequest<A> pending, int index, double sentAtMs) {
            this.pending = pending;
            this.index = index;
            this.sentAtMs = sentAtMs;
        }

        // A request that was not completely written cannot run, whatever the reason for aborting it.
        private void abort(Contract.Outcome reason) {
            if (inProgress()) {
                ended(handle.abort() ? reason : Contract.Outcome.CONNECT_FAILED, null, null);
            }
        }

        private boolean inProgress() {
            return outcome == null && handle != null;
        }

        @Override
        public void ended(Contract.Outcome result, A answer, Contract.Report report) {
            if (outcome != null) {
                return;
            }
            outcome = result;
            if (timer != null) {
                timer.cancel();
            }
            // Keeps events in order: an answer may trigger the client's next request at once. That one must wait until
            // the module has received this outcome, or the module would count the endpoint as still busy.
            dispatch(() -> {
                double nowMs = timers.nowMs();
                if (result == Contract.Outcome.SERVED && !pending.ended) {
                    pending.ended(RequestListener.Result.SERVED);
                    pending.sink.served(answer);
                }
                boolean finished = pending.ended;
                pending.removeIfDone();
                try {
                    module.outcome(nowMs, pending.request, index, result, nowMs - sentAtMs, finished, report);
                } finally {
                    pending.ensureDeadlineTimer(nowMs);
                }
            });
        }
    }
}
