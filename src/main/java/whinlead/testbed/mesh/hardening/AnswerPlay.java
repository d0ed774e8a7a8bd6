package whinlead.testbed.mesh.hardening;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.config.RoutingTable;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.sidecar.ClientSide;
import whinlead.mesh.sidecar.PeerPath;
import whinlead.mesh.sidecar.RequestForwarder;
import whinlead.plan.Calendar;

/**
 * Sends requests from client connections through a sidecar's real client side (window, egress, service balancer,
 * engine, module, forwarder) and real connections to three endpoints that answer in every allowed way, under a driven
 * clock, with configuration changes and a SIGTERM. Checks the rules MIXED and LOST: an answer's seal, status and body
 * belong together; every request that was read gets a complete answer; no request is aborted while its endpoint works
 * on it; and no request is started in the second half of the grace period. Deterministic for a seed. Single-threaded.
 */
public final class AnswerPlay {
    private static final double LENGTH_MS = 9000;
    private static final double CALM_MS = 6000;
    private static final int REQUESTS = 50;
    private static final int CONFIGURATIONS = 3;
    private static final int ENDPOINTS = 3;
    private static final int CAPACITY = 50;
    private static final double GRACE_S = 6;
    private static final double MS_PER_S = 1000;
    /** How long before the deadline the system may send an answer of its own, in milliseconds. */
    private static final double MARGIN_MS = 60;

    private static final double TICK_MS = 100;
    private static final String SERVICE = "svc";
    private static final List<String> PREFIXES = List.of("/read/", "/sign/", "/load/");
    private static final List<String> KINDS = List.of(MeshConfig.IDEMPOTENT, MeshConfig.MUTATING, MeshConfig.INGEST);

    private final Calendar calendar = new Calendar();
    private final SplittableRandom random;
    private final AnswerBug bug;
    private final List<AnswerPath> paths = new ArrayList<>();
    private final List<AnswerEndpoint> endpoints = new ArrayList<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    private final double[] deadlinesS = {2, 2, 3};
    private final ClientSide sidecar;
    private RoutingTable routing;
    private double terminatedAtMs = Double.POSITIVE_INFINITY;
    private boolean ended;

    private AnswerPlay(long seed, AnswerBug bug) {
        this.random = new SplittableRandom(seed);
        this.bug = bug;
        NodeSettings nodeSettings = new NodeSettings(
                new NodeSettings.Self("near", "127.0.0.1", "z", false, null, null, null, null),
                new NodeSettings.Network(new NodeSettings.Bind(null, null, null, null), List.of(1, 1), List.of()),
                new NodeSettings.Substrate(1),
                new NodeSettings.Clauses(new NodeSettings.Bounds(2.5, GRACE_S, 3, 2.5, 0.2, 10, 60, 5, 0.1, 20)));
        List<EndpointRecord> records = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(
                    new AnswerEndpoint(calendar, random.split(), new Work(), bug == AnswerBug.TAKES_RESET_FOR_END));
            records.add(new EndpointRecord(
                    Integer.toString(i), 1, 1, "z", "i-" + i, SERVICE, EndpointRecord.Phase.SERVING, CAPACITY, 0));
        }
        RequestForwarder forwarder = new RequestForwarder(
                calendar,
                task -> calendar.schedule(0, task),
                "near",
                (request, body, done) -> {},
                this::path,
                () -> {});
        routing = routing(1, PREFIXES, SERVICE);
        sidecar = new ClientSide(calendar, nodeSettings, forwarder, () -> routing, seed);
        sidecar.updateEndpoints(SERVICE, records);
    }

    private AnswerPath path(String node, PeerPath.Listener listener) {
        AnswerEndpoint endpoint = endpoints.get(Integer.parseInt(node));
        AnswerPath path = new AnswerPath(calendar, random.split(), listener, endpoint, bug);
        paths.add(path);
        return path;
    }

    private RoutingTable routing(long slot, List<String> prefixes, String service) {
        Map<String, MeshConfig.Route> routes = new LinkedHashMap<>();
        for (int i = 0; i < prefixes.size(); i++) {
            routes.put(
                    "r-" + i,
                    new MeshConfig.Route(
                            "h", prefixes.get(i), KINDS.get(i), deadlinesS[i], 0.5, 1, null, service, 2, true));
        }
        return new RoutingTable(
                slot,
                new MeshConfig(
                        "00000001",
                        routes,
                        Map.of(service, new MeshConfig.Service("/health", 100)),
                        new MeshConfig.Limits(16384, 1000, 3, 15),
                        null));
    }

    /** Plays the schedule of a seed. */
    public static RelayPlay.Outcome play(long seed, AnswerBug bug) {
        return new AnswerPlay(seed, bug).play();
    }

    private RelayPlay.Outcome play() {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "a-" + i;
            calendar.scheduleAt(random.nextDouble() * LENGTH_MS, () -> begin(id));
        }
        for (int i = 0; i < CONFIGURATIONS; i++) {
            int slot = i + 2;
            calendar.scheduleAt(random.nextDouble() * LENGTH_MS, () -> configure(slot));
        }
        if (random.nextBoolean()) {
            calendar.scheduleAt(LENGTH_MS / 2 * random.nextDouble(), this::terminate);
        }
        for (double nowMs = 0; nowMs < LENGTH_MS + CALM_MS; nowMs++) {
            calendar.runUntil(nowMs);
            endpoints.forEach(AnswerEndpoint::receive);
            if (nowMs % TICK_MS == 0) {
                sidecar.tick();
            }
            requests.values().forEach(Request::checkForAnswer);
            if (!ended && (sidecar.hasEnded() || nowMs > terminatedAtMs + GRACE_S * MS_PER_S)) {
                end();
            }
        }
        requests.values().stream()
                .filter(r -> r.answer == null)
                .forEach(r -> recordViolation(r.id + " was never answered"));
        return new RelayPlay.Outcome(List.copyOf(violations), Map.copyOf(figures), Map.of());
    }

    private void recordViolation(String what) {
        violations.add("at " + calendar.nowMs() + ": " + what);
    }

    private void count(String what) {
        figures.merge(what, 1L, Long::sum);
    }

    private void begin(String id) {
        if (!ended) {
            requests.put(id, new Request(id, random.nextInt(PREFIXES.size())));
        }
    }

    private void configure(long slot) {
        count("configurations");
        for (int i = 0; i < deadlinesS.length; i++) {
            deadlinesS[i] = 0.5 + 3 * random.nextDouble();
        }
        int variant = random.nextInt(3);
        List<String> prefixes = variant == 0 ? PREFIXES.subList(0, 1 + random.nextInt(2)) : PREFIXES;
        routing = routing(slot, prefixes, variant == 1 ? "moved" : SERVICE);
        if (bug == AnswerBug.RECONNECTS_ON_CONFIGURATION) {
            List.copyOf(paths).forEach(AnswerPath::reconnect);
        }
    }

    private void terminate() {
        count("SIGTERMs");
        terminatedAtMs = calendar.nowMs();
        sidecar.terminate();
        if (bug == AnswerBug.ENDS_ON_SIGTERM) {
            end();
        }
    }

    private void end() {
        ended = true;
        requests.values().forEach(Request::closeConnection);
    }

    // Whether the rules allow an endpoint's work to be aborted now: in the second half of the grace period.
    private boolean inSecondHalf() {
        return calendar.nowMs() >= terminatedAtMs + GRACE_S * MS_PER_S / 2;
    }

    /** Records what endpoints do. */
    private final class Work implements AnswerEndpoint.Observer {
        @Override
        public void started(String id) {
            Request r = requests.get(id);
            count("runs");
            r.runs++;
            r.running++;
            if (r.refused) {
                recordViolation(id + " ran after it was refused as never to run");
            }
            if (r.sentAtMs > terminatedAtMs + GRACE_S * MS_PER_S / 2) {
                recordViolation(id + " was started in the second half of the grace period");
            }
        }

        @Override
        public void answeredWithStatus(String id, int status) {
            requests.get(id).statuses.add(status);
        }

        @Override
        public void stopped(String id) {
            Request r = requests.get(id);
            r.running = Math.max(0, r.running - 1);
        }

        @Override
        public void answeredWhole(String id) {
            requests.get(id).answeredWhole = true;
        }
    }

    /** One client request, and what the endpoints and the client saw of it. */
    private final class Request {
        private final String id;
        private final boolean repeatable;
        private final double sentAtMs = calendar.nowMs();
        private final double deadlineMs;
        private final AnswerClient client = new AnswerClient(sidecar::accept);
        private final List<Integer> statuses = new ArrayList<>();
        private AnswerClient.Answer answer;
        private int runs;
        private int running;
        private boolean answeredWhole;
        private boolean refused;

        private Request(String id, int route) {
            this.id = id;
            this.repeatable = KINDS.get(route).equals(MeshConfig.IDEMPOTENT);
            int deadline = 300 + random.nextInt(4000);
            this.deadlineMs = sentAtMs + Math.min(deadline, deadlinesS[route] * MS_PER_S);
            requests.put(id, this);
            client.send(PREFIXES.get(route) + "x", id, deadline);
        }

        private void closeConnection() {
            checkForAnswer();
            client.close();
            checkForAnswer();
        }

        private void checkForAnswer() {
            if (answer != null) {
                return;
            }
            answer = client.receive();
            if (answer != null) {
                count((answer.seal() == null ? "own " : "endpoint's ") + answer.status());
                checkAnswer();
            } else if (!client.isOpen()) {
                recordViolation(id + " was read, but its connection ended without a complete answer");
                answer = new AnswerClient.Answer(0, null, "");
            }
        }

        private void checkAnswer() {
            int status = answer.status();
            boolean success = status / 100 == 2;
            if (answer.seal() != null && !answer.seal().equals(AnswerEndpoint.seal(id, status))) {
                recordViolation(id + " was answered " + status + " under the seal " + answer.seal());
            }
            boolean sound =
                    answer.seal() != null && answeredWhole && answer.body().equals(AnswerEndpoint.body(id));
            if (success && !sound) {
                recordViolation(
                        id + " was answered with a success that is not its endpoint's complete answer: " + answer);
            }
            if (!success && answer.seal() != null && !statuses.contains(status)) {
                recordViolation(id + " was answered " + status + ", which no endpoint has sent");
            }
            refused = !repeatable && status == 503;
            if (refused && runs > 0) {
                recordViolation(id + " has run but was refused");
            }
            boolean own = !success && answer.seal() == null && status != 503 && status != 404;
            if (own && running > 0 && calendar.nowMs() < deadlineMs - MARGIN_MS && !inSecondHalf()) {
                recordViolation(id + " was answered " + status + " while its endpoint was working on it");
            }
        }
    }
}
