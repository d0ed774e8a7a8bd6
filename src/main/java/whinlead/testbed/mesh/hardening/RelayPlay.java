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
 * Requests from one sidecar through the real engine, module, ways and lines to three endpoints in trouble, under a
 * driven clock: connections are reset and held back, connections are lost and made anew, either sidecar is frozen or
 * restarted, endpoints reset, cut off, spoil, and answer late or twice, and clients leave. Beside it, pipelined calls
 * through the real server of calls.
 *
 * <p>Checks that each answer is its own, that what may not be repeated runs once at most and nothing on more endpoints
 * than its route allows, that "has not run" is not said of what has run and that nothing runs after it, that a time
 * left is never overstated, and that nothing is written after the caller was answered or has left. The same seed plays
 * the same. One thread.
 */
public final class RelayPlay {
    /** A fault that is planted, to see that it is found. */
    public enum Bug {
        /** None. */
        NONE,
        /** Answers to pipelined calls go out when they come. */
        ANSWERS_AS_THEY_COME,
        /** What waited when its caller was answered still goes out. */
        WRITES_AFTER_ANSWER,
        /** A connection that is made anew sends again what was sent on the last. */
        WRITES_AGAIN_AFTER_REDIAL,
        /** A connection that broke after the request was written is told as one that was never made. */
        RESET_NEVER_RAN,
        /** Whatever an endpoint says next is taken for the answer to the request that it was sent last. */
        IGNORES_IDS,
        /** An attempt counts against the route's bound only if an answer came of it. */
        COUNTS_ANSWERED_ONLY,
        /** The sidecar beside an endpoint that resets a repeatable request passes it on to another one. */
        PASSES_ON_AFTER_RESET,
        /** Each attempt is handed the time of the whole request. */
        HANDS_OUT_WHOLE_TIME,
        /** A client that leaves is only forgotten: what waits for its path goes out all the same. */
        FORGETS_WHO_LEFT,
        /** The far sidecar counts a request's time from its arrival, however long it waited on its way. */
        COUNTS_FROM_ARRIVAL
    }

    /**
     * What a schedule came to.
     *
     * @param broken what it broke
     * @param figures what it counted
     * @param longest the longest of what it timed, in milliseconds
     */
    public record Outcome(List<String> broken, Map<String, Long> figures, Map<String, Double> longest) {}

    private static final double LENGTH = 6000;
    private static final double CALM = 10_000;
    /** From so long after the last request on, time goes in larger steps. */
    private static final double QUIET = 3000;

    private static final int REQUESTS = 40;
    private static final int CALLS = 30;
    private static final int FAULTS = 10;
    private static final int FARS = 3;
    /** Routes allow one endpoint, and so on up to this many, by turns. */
    private static final int MAX_TRIES = 2;
    /** The client of one request in so many leaves before its time is up. */
    private static final int LEAVES = 7;

    private static final double TICK = 100;
    /** A request that begins so long after its time was up breaks the promise. */
    private static final double MAX_LATE = 650;

    private static final String BODY = "of ";
    /** A failure in the last moments of a request's time is told as 504, before that as 502. */
    private static final double TIMED_OUT = 50;

    private static final RequestClasses CLASSES = new RequestClasses();

    private final Calendar calendar = new Calendar();
    private final SplittableRandom random;
    private final Bug bug;
    private final RelayProcess near;
    private final List<Far> fars = new ArrayList<>();
    private final Map<String, ClientRequest> requests = new HashMap<>();
    private final Map<String, RelayPath> paths = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    private final Map<String, Double> longest = new TreeMap<>();
    /** Where the processes' clocks begin. */
    private final SplittableRandom clocks;

    private Engine engine;
    private RequestForwarder round;
    private int life;

    private RelayPlay(long seed, Bug bug) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
        this.clocks = new SplittableRandom(~seed);
        this.near = new RelayProcess(calendar, random.split(), clockBegan());
    }

    private double clockBegan() {
        return clocks.nextInt();
    }

    /** Plays the schedule of this seed. */
    public static Outcome play(long seed, Bug bug) {
        return new RelayPlay(seed, bug).play();
    }

    private Outcome play() {
        for (int i = 0; i < FARS; i++) {
            fars.add(new Far());
        }
        begin();
        RelayCalls calls = new RelayCalls(calendar, random.split(), this::broke);
        calls.start(bug == Bug.ANSWERS_AS_THEY_COME);
        for (int i = 0; i < REQUESTS; i++) {
            String id = "a-" + i;
            calendar.at(random.nextDouble() * LENGTH, () -> near.execute(() -> new ClientRequest(id).go()));
        }
        for (int i = 0; i < CALLS; i++) {
            calendar.at(random.nextDouble() * LENGTH / 4, calls::call);
        }
        for (int i = 0; i < FAULTS; i++) {
            calendar.at(random.nextDouble() * LENGTH, this::fault);
        }
        for (double at = 0; at < LENGTH + CALM; at += at < LENGTH + QUIET ? 1 : 20) {
            calendar.runTo(at);
            fars.forEach(f -> f.endpoint.hear());
        }
        requests.values().forEach(ClientRequest::end);
        calls.end();
        figures.merge("calls answered", (long) calls.heard(), Long::sum);
        return new Outcome(List.copyOf(broken), Map.copyOf(figures), Map.copyOf(longest));
    }

    private void broke(String what) {
        broken.add("at " + calendar.now() + ": " + what);
    }

    private void count(String what) {
        figures.merge(what, 1L, Long::sum);
    }

    private void begin() {
        life++;
        paths.clear();
        Contract.Settings settings = ServiceBalancer.settings(CLASSES, 2.5, 1);
        engine = new Engine(near, settings, out -> new Decide(settings, random.nextLong(), out), list -> {}, line -> {
            if (line.startsWith("decision failed")) {
                broke(line);
            }
        });
        engine.start(() -> {}, null);
        round = new RequestForwarder(
                near,
                task -> calendar.after(0, () -> near.execute(task)),
                "near",
                (request, done) -> {},
                (node, ear) -> {
                    Far far = fars.get(Integer.parseInt(node));
                    RelayPath path = new RelayPath(
                            calendar,
                            random.split(),
                            near,
                            far.process,
                            ear,
                            far::take,
                            this::wrote,
                            bug == Bug.WRITES_AGAIN_AFTER_REDIAL);
                    paths.put(node, path);
                    return path;
                },
                () -> {});
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < FARS; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server(Integer.toString(i), Contract.Standing.UP, 1, "z", -1, 0), null));
        }
        engine.list(Contract.ListKind.FULL, new EndpointList(life, true, entries));
    }

    private void fault() {
        Far far = fars.get(random.nextInt(FARS));
        RelayPath path = paths.get(Integer.toString(fars.indexOf(far)));
        int how = random.nextInt(8);
        double length = Math.exp(random.nextDouble() * Math.log(8000));
        if (how == 0) {
            count("sidecars restarted at the near end");
            near.restart();
            List.copyOf(paths.values()).forEach(RelayPath::close);
            begin();
        } else if (how == 1) {
            count("sidecars restarted at the far end");
            far.restart();
            if (path != null) {
                path.farEnded();
            }
        } else if (how == 2) {
            count("freezes of the near end");
            near.freeze(Math.min(length, 2500));
        } else if (how == 3) {
            count("freezes of the far end");
            far.process.freeze(length);
            if (path != null) {
                path.silence(length);
            }
        } else if (path != null && how < 6) {
            count("connections reset");
            path.reset();
        } else if (path != null) {
            count("connections held back");
            path.hold(length);
        }
    }

    // --- the near sidecar

    private void wrote(PeerMessage message) {
        if (!(message instanceof PeerMessage.ForwardRequest request)) {
            count("cancellations");
            return;
        }
        ClientRequest r = requests.get(id(request));
        if (r.answered && r.life == life) {
            broke(r.id + " was written after its caller had been answered");
        }
        if (request.leftMs() > r.endAt - calendar.now() + 1) {
            broke(r.id + " was written with " + request.leftMs() + " ms, of which it had "
                    + (r.endAt - calendar.now()));
        }
    }

    private static String id(PeerMessage.ForwardRequest request) {
        return request.headers().get(1);
    }

    private void ran(String id, Far far) {
        ClientRequest r = requests.get(id);
        r.runs++;
        r.endpoints.add(far);
        if (r.endpoints.size() > r.tries) {
            broke(id + " ran on " + r.endpoints.size() + " endpoints, " + r.tries + " at most are allowed");
        }
        count("runs");
        if (r.mutating && r.runs > 1) {
            broke(id + " ran " + r.runs + " times");
        }
        if (r.promised) {
            broke(id + " ran after it was said that it had not and never would");
        }
        if (r.answered) {
            count("runs after a 502 or 504 or for a client that was cut off");
        }
        began(r);
    }

    private void began(ClientRequest r) {
        double now = calendar.now();
        time(
                "a start after its request's time was up"
                        + (r.comparable ? "" : ", by a connection whose first message had waited"),
                now - r.endAt);
        if (r.comparable && now - r.endAt > MAX_LATE) {
            broke(r.id + " began " + (now - r.endAt) + " ms after its time was up");
        }
        if (r.failed) {
            boolean timedOut = r.answeredAt >= r.endAt - TIMED_OUT;
            time("a start after its caller had a " + (timedOut ? "504" : "502"), now - r.answeredAt);
        }
    }

    private void time(String what, double millis) {
        if (millis > 0) {
            count(what);
            longest.merge(what, millis, Math::max);
        }
    }

    private final class ClientRequest
            implements ResponseSink<PeerMessage.ForwardResponse>, Transport<PeerMessage.ForwardResponse> {
        private final String id;
        private final int life = RelayPlay.this.life;
        private final boolean mutating = random.nextInt(3) > 0;
        private final double timeout = 300 + random.nextInt(2500);
        private final double endAt = calendar.now() + timeout;
        private final int tries = 1 + requests.size() % MAX_TRIES;
        private final EndpointAttempts attempts = new EndpointAttempts(tries);
        private final Set<Far> endpoints = new HashSet<>();
        private int runs;
        private boolean answered;
        private double answeredAt;
        private boolean failed;
        /** Whether its connection's first message had come at once, so that waiting shows. */
        private boolean comparable = true;

        private boolean promised;
        /** The attempt that was sent last, and who hears of its end. */
        private RequestForwarder.Sent sent;

        private Outcomes<PeerMessage.ForwardResponse> outcomes;

        private ClientRequest(String id) {
            this.id = id;
            requests.put(id, this);
        }

        private void go() {
            Engine.Held<PeerMessage.ForwardResponse> held =
                    engine.take(new Request(CLASSES.of(!mutating, 1, 500), -1, timeout, false, 1, 0), this, this);
            if (requests.size() % LEAVES == 0) {
                near.after(random.nextDouble() * timeout, () -> leave(held));
            }
        }

        private void leave(Engine.Held<PeerMessage.ForwardResponse> held) {
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
        public Sending send(String endpoint, int attempt, double within, Outcomes<PeerMessage.ForwardResponse> told) {
            if (!attempts.mayBeSent()) {
                told.ended(Contract.Outcome.NEVER_SENT, null, null);
                return () -> false;
            }
            attempts.sent();
            double left = bug == Bug.HANDS_OUT_WHOLE_TIME ? timeout : endAt - calendar.now();
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
            RequestForwarder.Sent attempted = round.send(endpoint, draft, !mutating, message -> came(message, told));
            sent = attempted;
            return () -> {
                boolean written = attempted.giveUp();
                if (!written) {
                    attempts.neverWritten();
                }
                if (!written && bug == Bug.WRITES_AFTER_ANSWER) {
                    near.after(1, () -> round.send(endpoint, draft, false, message -> {}));
                }
                return written;
            };
        }

        private void came(PeerMessage message, Outcomes<PeerMessage.ForwardResponse> told) {
            if (message instanceof PeerMessage.ForwardFailure r) {
                attempts.returned(bug == Bug.COUNTS_ANSWERED_ONLY ? PeerMessage.FailureReason.UNREACHED : r.why());
            }
            told.ended(
                    RequestForwarder.outcome(message),
                    message instanceof PeerMessage.ForwardResponse d ? d : null,
                    null);
        }

        private void answered(String how) {
            count(how);
            if (answered) {
                broke(id + " was answered twice");
            }
            answered = true;
            answeredAt = calendar.now();
        }

        @Override
        public void served(PeerMessage.ForwardResponse answer) {
            answered("served");
            String body = new String(answer.body(), StandardCharsets.US_ASCII);
            int at = answer.headers().indexOf("Attempt-Id");
            if (!body.equals(BODY + id)
                    || at < 0
                    || !answer.headers().get(at + 1).equals(id)) {
                broke(id + " was answered " + body + " " + answer.headers());
            }
        }

        @Override
        public void refused(double retryAfter) {
            answered("refused");
            promised = mutating;
            if (mutating && runs > 0) {
                broke(id + " has run and was refused");
            }
        }

        @Override
        public void failed() {
            answered("failed");
            failed = true;
        }

        private void end() {
            if (!answered && life == RelayPlay.this.life) {
                broke(id + " was never answered");
            }
        }
    }

    // --- a far sidecar and its endpoint

    private final class Far {
        private final RelayProcess process = new RelayProcess(calendar, random.split(), clockBegan());
        private final RelayEndpoint endpoint = new RelayEndpoint(
                calendar, process, random.split(), id -> ran(id, this), RelayPlay.this::count, bug == Bug.IGNORES_IDS);
        private EndpointConnections line = new EndpointConnections(process, endpoint::connect);
        private EndpointRequests underWay = new EndpointRequests();
        private ForwardedTime time = new ForwardedTime();

        private Far() {
            tick();
        }

        private void tick() {
            time.running(process.now());
            process.after(TICK, this::tick);
        }

        private void take(TransitClock transit, double firstWaited, PeerMessage message, Consumer<PeerMessage> answer) {
            if (message instanceof PeerMessage.Ping ping) {
                time.running(process.now());
                transit.waited(process.now(), ping.sentAt());
            } else if (message instanceof PeerMessage.Cancel cancel) {
                underWay.cancel(answer, cancel);
            } else if (message instanceof PeerMessage.ForwardRequest request) {
                int left = time.left(process.now(), transit, request);
                requests.get(request.headers().get(1)).comparable = firstWaited < MAX_LATE;
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
            underWay.begin(answer, request.stream());
            EndpointConnections.Sent atEndpoint = line.send(request, request.endpoint(), l -> {
                underWay.ended(answer, request.stream());
                boolean reset =
                        l instanceof PeerMessage.ForwardFailure r && r.why() == PeerMessage.FailureReason.BROKEN;
                if (reset && bug == Bug.RESET_NEVER_RAN) {
                    answer.accept(new PeerMessage.ForwardFailure(
                            request.stream(), PeerMessage.FailureReason.UNREACHED, 0, 0));
                } else if (reset && bug == Bug.PASSES_ON_AFTER_RESET && !requests.get(id(request)).mutating) {
                    Far next = fars.get((fars.indexOf(this) + 1) % FARS);
                    next.line.send(request, request.endpoint(), answer);
                } else {
                    answer.accept(l);
                }
            });
            underWay.sent(answer, request.stream(), atEndpoint);
        }

        private void restart() {
            process.restart();
            time = new ForwardedTime();
            tick();
            endpoint.reset();
            line = new EndpointConnections(process, endpoint::connect);
            underWay = new EndpointRequests();
        }
    }
}
