package whinlead.testbed.mesh.hardening;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import whinlead.Contract;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Transport;
import whinlead.membership.EndpointList;
import whinlead.mesh.sidecar.EndpointAttempts;
import whinlead.mesh.sidecar.EndpointConnections;
import whinlead.mesh.sidecar.EndpointRequests;
import whinlead.mesh.sidecar.ForwardedTime;
import whinlead.mesh.sidecar.RequestClasses;
import whinlead.mesh.sidecar.RequestForwarder;
import whinlead.mesh.sidecar.ServiceBalancer;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.TransitClock;
import whinlead.plan.Calendar;

/**
 * Sends requests from one sidecar through the real engine, module, paths and connections to three faulty endpoints,
 * under a driven clock: connections are reset, delayed, lost and re-established, either sidecar is frozen or restarted,
 * endpoints reset, truncate, garble, and answer late or twice, and clients leave. Also sends pipelined calls through
 * the real RPC server.
 *
 * <p>Checks that each answer belongs to its request, that a non-repeatable request runs at most once and no request on
 * more endpoints than its route allows, that "has not run" is never reported for a request that has run or runs later,
 * that the remaining time is never overstated, and that nothing is written after the caller was answered or has left.
 * Deterministic for a seed. Single-threaded.
 */
public final class RelayPlay {
    /** A fault planted to verify that it is detected. */
    public enum Bug {
        /** None. */
        NONE,
        /** Answers to pipelined calls are written as they complete, out of order. */
        ANSWERS_AS_THEY_COME,
        /** A request that was waiting when its caller was answered is still written. */
        WRITES_AFTER_ANSWER,
        /** A new connection sends again what was sent on the previous one. */
        WRITES_AGAIN_AFTER_REDIAL,
        /** A connection that broke after the request was written is reported as never established. */
        RESET_NEVER_RAN,
        /** Whatever an endpoint sends next is taken as the answer to the request last sent to it. */
        IGNORES_IDS,
        /** An attempt counts against the route's bound only if it was answered. */
        COUNTS_ANSWERED_ONLY,
        /** The sidecar of an endpoint that resets a repeatable request forwards it to another endpoint. */
        PASSES_ON_AFTER_RESET,
        /** Each attempt gets the full time of the request instead of the remaining time. */
        HANDS_OUT_WHOLE_TIME,
        /** After a client leaves, its request that waits for a path is still sent. */
        FORGETS_WHO_LEFT,
        /** The far sidecar counts a request's time from its arrival, ignoring the time in transit. */
        COUNTS_FROM_ARRIVAL
    }

    /**
     * The outcome of a schedule.
     *
     * @param broken violated guarantees
     * @param figures counted occurrences
     * @param longest maxima of measured times, in milliseconds
     */
    public record Outcome(List<String> broken, Map<String, Long> figures, Map<String, Double> longest) {}

    private static final double LENGTH_MS = 6000;
    private static final double CALM_MS = 10_000;
    /** This long after the last request, time starts to advance in larger steps, in milliseconds. */
    private static final double QUIET_MS = 3000;

    private static final int REQUESTS = 40;
    private static final int CALLS = 30;
    private static final int FAULTS = 10;
    private static final int FAR_SIDECARS = 3;
    /** Routes allow from one up to this many endpoints, in turn. */
    private static final int MAX_TRIES = 2;
    /** The client of one request in this many leaves before the deadline. */
    private static final int LEAVE_PERIOD = 7;

    private static final double TICK_MS = 100;
    /** A request that starts this long after its deadline violates the guarantee, in milliseconds. */
    private static final double MAX_LATE_MS = 650;

    private static final String BODY_PREFIX = "of ";
    /** A failure this close to the deadline is reported as 504, an earlier one as 502, in milliseconds. */
    private static final double TIMED_OUT_MS = 50;

    private static final RequestClasses CLASSES = new RequestClasses();

    private final Calendar calendar = new Calendar();
    private final SplittableRandom random;
    private final Bug bug;
    private final RelayProcess near;
    private final List<Far> fars = new ArrayList<>();
    private final Map<String, ClientRequest> requests = new HashMap<>();
    private final Map<String, RelayPath> paths = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    private final Map<String, Double> longest = new TreeMap<>();
    /** Draws the offsets of the processes' clocks. */
    private final SplittableRandom clockRandom;

    private Engine engine;
    private RequestForwarder forwarder;
    private int incarnation;

    private RelayPlay(long seed, Bug bug) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
        this.clockRandom = new SplittableRandom(~seed);
        this.near = new RelayProcess(calendar, random.split(), randomClockOffset());
    }

    private double randomClockOffset() {
        return clockRandom.nextInt();
    }

    /** Plays the schedule of a seed. */
    public static Outcome play(long seed, Bug bug) {
        return new RelayPlay(seed, bug).play();
    }

    private Outcome play() {
        for (int i = 0; i < FAR_SIDECARS; i++) {
            fars.add(new Far());
        }
        begin();
        RelayCalls calls = new RelayCalls(calendar, random.split(), this::recordViolation);
        calls.start(bug == Bug.ANSWERS_AS_THEY_COME);
        for (int i = 0; i < REQUESTS; i++) {
            String id = "a-" + i;
            calendar.scheduleAt(
                    random.nextDouble() * LENGTH_MS, () -> near.execute(() -> new ClientRequest(id).start()));
        }
        for (int i = 0; i < CALLS; i++) {
            calendar.scheduleAt(random.nextDouble() * LENGTH_MS / 4, calls::call);
        }
        for (int i = 0; i < FAULTS; i++) {
            calendar.scheduleAt(random.nextDouble() * LENGTH_MS, this::fault);
        }
        for (double nowMs = 0; nowMs < LENGTH_MS + CALM_MS; nowMs += nowMs < LENGTH_MS + QUIET_MS ? 1 : 20) {
            calendar.runUntil(nowMs);
            fars.forEach(f -> f.endpoint.receive());
        }
        requests.values().forEach(ClientRequest::checkAnswered);
        calls.checkAllAnswered();
        figures.merge("calls answered", (long) calls.answered(), Long::sum);
        return new Outcome(List.copyOf(violations), Map.copyOf(figures), Map.copyOf(longest));
    }

    private void recordViolation(String what) {
        violations.add("at " + calendar.nowMs() + ": " + what);
    }

    private void count(String what) {
        figures.merge(what, 1L, Long::sum);
    }

    private void begin() {
        incarnation++;
        paths.clear();
        Contract.Settings settings = ServiceBalancer.settings(CLASSES, 2.5, 1);
        engine = new Engine(near, settings, out -> new Decide(settings, random.nextLong(), out), list -> {}, line -> {
            if (line.startsWith("decision failed")) {
                recordViolation(line);
            }
        });
        engine.start(() -> {}, null);
        forwarder = new RequestForwarder(
                near,
                task -> calendar.schedule(0, () -> near.execute(task)),
                "near",
                (request, body, done) -> {},
                (node, ear) -> {
                    Far far = fars.get(Integer.parseInt(node));
                    RelayPath path = new RelayPath(
                            calendar,
                            random.split(),
                            near,
                            far.process,
                            ear,
                            far::receive,
                            this::written,
                            bug == Bug.WRITES_AGAIN_AFTER_REDIAL);
                    paths.put(node, path);
                    return path;
                },
                () -> {});
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < FAR_SIDECARS; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server(Integer.toString(i), Contract.ServerState.UP, 1, "z", -1, 0), null));
        }
        engine.listReceived(Contract.ListKind.FULL, new EndpointList(incarnation, true, entries));
    }

    private void fault() {
        Far far = fars.get(random.nextInt(FAR_SIDECARS));
        RelayPath path = paths.get(Integer.toString(fars.indexOf(far)));
        int variant = random.nextInt(8);
        double lengthMs = Math.exp(random.nextDouble() * Math.log(8000));
        if (variant == 0) {
            count("sidecars restarted at the near end");
            near.restart();
            List.copyOf(paths.values()).forEach(RelayPath::close);
            begin();
        } else if (variant == 1) {
            count("sidecars restarted at the far end");
            far.restart();
            if (path != null) {
                path.farEnded();
            }
        } else if (variant == 2) {
            count("freezes of the near end");
            near.freeze(Math.min(lengthMs, 2500));
        } else if (variant == 3) {
            count("freezes of the far end");
            far.process.freeze(lengthMs);
            if (path != null) {
                path.silence(lengthMs);
            }
        } else if (path != null && variant < 6) {
            count("connections reset");
            path.reset();
        } else if (path != null) {
            count("connections held back");
            path.hold(lengthMs);
        }
    }

    // --- the near sidecar

    private void written(PeerMessage message) {
        if (!(message instanceof PeerMessage.ForwardRequest request)) {
            count("cancellations");
            return;
        }
        ClientRequest r = requests.get(id(request));
        if (r.answered && r.incarnation == incarnation) {
            recordViolation(r.id + " was written after its caller had been answered");
        }
        if (request.leftMs() > r.deadlineMs - calendar.nowMs() + 1) {
            recordViolation(r.id + " was written with " + request.leftMs() + " ms, of which it had "
                    + (r.deadlineMs - calendar.nowMs()));
        }
    }

    private static String id(PeerMessage.ForwardRequest request) {
        return request.headers().get(1);
    }

    private void started(String id, Far far) {
        ClientRequest request = requests.get(id);
        request.runs++;
        request.endpoints.add(far);
        if (request.endpoints.size() > request.maxEndpoints) {
            recordViolation(id + " ran on " + request.endpoints.size() + " endpoints, " + request.maxEndpoints
                    + " at most are allowed");
        }
        count("runs");
        if (request.mutating && request.runs > 1) {
            recordViolation(id + " ran " + request.runs + " times");
        }
        if (request.refused) {
            recordViolation(id + " ran after it was refused as never to run");
        }
        if (request.answered) {
            count("runs after a 502 or 504 or for a client that was cut off");
        }
        checkStart(request);
    }

    private void checkStart(ClientRequest r) {
        double nowMs = calendar.nowMs();
        recordTime(
                "a start after its request's time was up"
                        + (r.connectionPrompt ? "" : ", by a connection whose first message had waited"),
                nowMs - r.deadlineMs);
        if (r.connectionPrompt && nowMs - r.deadlineMs > MAX_LATE_MS) {
            recordViolation(r.id + " began " + (nowMs - r.deadlineMs) + " ms after its time was up");
        }
        if (r.failed) {
            boolean timedOut = r.answeredAtMs >= r.deadlineMs - TIMED_OUT_MS;
            recordTime("a start after its caller had a " + (timedOut ? "504" : "502"), nowMs - r.answeredAtMs);
        }
    }

    private void recordTime(String what, double millis) {
        if (millis > 0) {
            count(what);
            longest.merge(what, millis, Math::max);
        }
    }

    private final class ClientRequest
            implements ResponseSink<PeerMessage.ForwardResponse>, Transport<PeerMessage.ForwardResponse> {
        private final String id;
        private final int incarnation = RelayPlay.this.incarnation;
        private final boolean mutating = random.nextInt(3) > 0;
        private final double timeoutMs = 300 + random.nextInt(2500);
        private final double deadlineMs = calendar.nowMs() + timeoutMs;
        private final int maxEndpoints = 1 + requests.size() % MAX_TRIES;
        private final EndpointAttempts attempts = new EndpointAttempts(maxEndpoints);
        private final Set<Far> endpoints = new HashSet<>();
        private int runs;
        private boolean answered;
        private double answeredAtMs;
        private boolean failed;
        /** Whether its connection's first message arrived promptly, so that later time in transit can be measured. */
        private boolean connectionPrompt = true;

        private boolean refused;
        /** The last attempt, and the receiver of its outcome. */
        private RequestForwarder.SentRequest sent;

        private OutcomeListener<PeerMessage.ForwardResponse> outcomes;

        private ClientRequest(String id) {
            this.id = id;
            requests.put(id, this);
        }

        private void start() {
            Engine.PendingRequest<PeerMessage.ForwardResponse> held = engine.accept(
                    new Request(CLASSES.indexOf(!mutating, 1, 500), -1, timeoutMs, false, 1, 0), this, this);
            if (requests.size() % LEAVE_PERIOD == 0) {
                near.schedule(random.nextDouble() * timeoutMs, () -> leave(held));
            }
        }

        private void leave(Engine.PendingRequest<PeerMessage.ForwardResponse> held) {
            if (answered) {
                return;
            }
            answered("left by their clients");
            held.abandon();
            if (sent != null && bug != Bug.FORGETS_WHO_LEFT) {
                sent.cancel();
                outcomes.ended(Contract.Outcome.CANCELLED, null, null);
            }
        }

        @Override
        public AttemptHandle send(
                String endpoint, int attempt, double within, OutcomeListener<PeerMessage.ForwardResponse> told) {
            if (!attempts.mayArriveAgain()) {
                told.ended(Contract.Outcome.NEVER_SENT, null, null);
                return () -> false;
            }
            attempts.attemptSent();
            double left = bug == Bug.HANDS_OUT_WHOLE_TIME ? timeoutMs : deadlineMs - calendar.nowMs();
            PeerMessage.ForwardRequest draft = new PeerMessage.ForwardRequest(
                    0,
                    "POST",
                    "/x",
                    List.of("Attempt-Id", id),
                    new byte[0],
                    (int) Math.max(1, left),
                    "svc",
                    endpoint,
                    1);
            outcomes = told;
            RequestForwarder.SentRequest attempted =
                    forwarder.send(endpoint, draft, !mutating, message -> attemptEnded(message, told));
            sent = attempted;
            return () -> {
                boolean written = attempted.abort();
                if (!written) {
                    attempts.attemptNotWritten();
                }
                if (!written && bug == Bug.WRITES_AFTER_ANSWER) {
                    near.schedule(1, () -> forwarder.send(endpoint, draft, false, message -> {}));
                }
                return written;
            };
        }

        private void attemptEnded(PeerMessage message, OutcomeListener<PeerMessage.ForwardResponse> told) {
            if (message instanceof PeerMessage.ForwardFailure r) {
                attempts.attemptFailed(
                        bug == Bug.COUNTS_ANSWERED_ONLY ? PeerMessage.FailureReason.UNREACHED : r.reason());
            }
            told.ended(
                    RequestForwarder.outcome(message),
                    message instanceof PeerMessage.ForwardResponse d ? d : null,
                    null);
        }

        private void answered(String how) {
            count(how);
            if (answered) {
                recordViolation(id + " was answered twice");
            }
            answered = true;
            answeredAtMs = calendar.nowMs();
        }

        @Override
        public void served(PeerMessage.ForwardResponse answer) {
            answered("served");
            String body = new String(answer.body(), StandardCharsets.US_ASCII);
            int at = answer.headers().indexOf("Attempt-Id");
            if (!body.equals(BODY_PREFIX + id)
                    || at < 0
                    || !answer.headers().get(at + 1).equals(id)) {
                recordViolation(id + " was answered " + body + " " + answer.headers());
            }
        }

        @Override
        public void refused(double retryAfter) {
            answered("refused");
            refused = mutating;
            if (mutating && runs > 0) {
                recordViolation(id + " has run but was refused");
            }
        }

        @Override
        public void failed() {
            answered("failed");
            failed = true;
        }

        private void checkAnswered() {
            if (!answered && incarnation == RelayPlay.this.incarnation) {
                recordViolation(id + " was never answered");
            }
        }
    }

    // --- a far sidecar and its endpoint

    private final class Far {
        private final RelayProcess process = new RelayProcess(calendar, random.split(), randomClockOffset());
        private final RelayEndpoint endpoint = new RelayEndpoint(
                calendar,
                process,
                random.split(),
                id -> started(id, this),
                RelayPlay.this::count,
                bug == Bug.IGNORES_IDS);
        private EndpointConnections endpointConnections = new EndpointConnections(process, endpoint::connect);
        private EndpointRequests underWay = new EndpointRequests();
        private ForwardedTime forwardedTime = new ForwardedTime();

        private Far() {
            tick();
        }

        private void tick() {
            forwardedTime.recordRunning(process.nowMs());
            process.schedule(TICK_MS, this::tick);
        }

        private void receive(
                TransitClock transit, double firstWaited, PeerMessage message, Consumer<PeerMessage> answer) {
            if (message instanceof PeerMessage.Ping ping) {
                forwardedTime.recordRunning(process.nowMs());
                transit.waitedMs(process.nowMs(), ping.sentAt());
            } else if (message instanceof PeerMessage.Cancel cancel) {
                underWay.cancel(answer, cancel);
            } else if (message instanceof PeerMessage.ForwardRequest request) {
                int left = forwardedTime.remainingMs(process.nowMs(), transit, request);
                requests.get(request.headers().get(1)).connectionPrompt = firstWaited < MAX_LATE_MS;
                if (bug == Bug.COUNTS_FROM_ARRIVAL) {
                    run(request, answer);
                } else if (left > 0) {
                    run(request.withLeft(left), answer);
                } else {
                    count("requests whose time was up when they arrived");
                    answer.accept(new PeerMessage.ForwardFailure(
                            request.stream(), PeerMessage.FailureReason.UNREACHED, 0, 0));
                }
            }
        }

        private void run(PeerMessage.ForwardRequest request, Consumer<PeerMessage> answer) {
            if (random.nextInt(15) == 0) {
                answer.accept(new PeerMessage.ForwardFailure(request.stream(), PeerMessage.FailureReason.FULL, 0, 0));
                return;
            }
            underWay.requestStarting(answer, request.stream());
            EndpointConnections.SentRequest atEndpoint = endpointConnections.send(request, request.endpoint(), l -> {
                underWay.requestEnded(answer, request.stream());
                boolean reset =
                        l instanceof PeerMessage.ForwardFailure r && r.reason() == PeerMessage.FailureReason.BROKEN;
                if (reset && bug == Bug.RESET_NEVER_RAN) {
                    answer.accept(new PeerMessage.ForwardFailure(
                            request.stream(), PeerMessage.FailureReason.UNREACHED, 0, 0));
                } else if (reset && bug == Bug.PASSES_ON_AFTER_RESET && !requests.get(id(request)).mutating) {
                    Far next = fars.get((fars.indexOf(this) + 1) % FAR_SIDECARS);
                    next.endpointConnections.send(request, request.endpoint(), answer);
                } else {
                    answer.accept(l);
                }
            });
            underWay.requestSent(answer, request.stream(), atEndpoint);
        }

        private void restart() {
            process.restart();
            forwardedTime = new ForwardedTime();
            tick();
            endpoint.reset();
            endpointConnections = new EndpointConnections(process, endpoint::connect);
            underWay = new EndpointRequests();
        }
    }
}
