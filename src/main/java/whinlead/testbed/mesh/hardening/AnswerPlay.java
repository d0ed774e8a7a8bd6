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
 * Requests from clients' connections through a sidecar's real client side (window, egress, service balancer, engine,
 * module, round) and real lines to three endpoints that answer in every way they may, under a driven clock, with
 * configurations and a SIGTERM on the way. Checks the users' rules MIXED and LOST: whose seal, status and body an
 * answer has; that every request that was read has a whole answer; that none is broken off at whose endpoint work goes
 * on; and that nothing is begun in the second half of the grace. The same seed plays the same. One thread.
 */
public final class AnswerPlay {
    private static final double LENGTH = 9000;
    private static final double CALM = 6000;
    private static final int REQUESTS = 50;
    private static final int CONFIGURATIONS = 3;
    private static final int FARS = 3;
    private static final int CAPACITY = 50;
    private static final double GRACE_S = 6;
    private static final double MS = 1000;
    /** An answer of the system's own may come so much before the time is up, in milliseconds. */
    private static final double MARGIN = 60;

    private static final double TICK = 100;
    private static final String SERVICE = "svc";
    private static final List<String> PREFIXES = List.of("/read/", "/sign/", "/load/");
    private static final List<String> KINDS = List.of(MeshConfig.IDEMPOTENT, MeshConfig.MUTATING, MeshConfig.INGEST);

    private final Calendar calendar = new Calendar();
    private final SplittableRandom random;
    private final AnswerBug bug;
    private final List<AnswerPath> paths = new ArrayList<>();
    private final List<AnswerEndpoint> endpoints = new ArrayList<>();
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Long> figures = new TreeMap<>();
    private final double[] deadlines = {2, 2, 3};
    private final ClientSide sidecar;
    private RoutingTable routing;
    private double termAt = Double.POSITIVE_INFINITY;
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
        for (int i = 0; i < FARS; i++) {
            endpoints.add(
                    new AnswerEndpoint(calendar, random.split(), new Work(), bug == AnswerBug.TAKES_RESET_FOR_END));
            records.add(new EndpointRecord(
                    Integer.toString(i), 1, 1, "z", "i-" + i, SERVICE, EndpointRecord.Phase.SERVING, CAPACITY, 0));
        }
        RequestForwarder round = new RequestForwarder(
                calendar, task -> calendar.after(0, task), "near", (request, done) -> {}, this::path, () -> {});
        routing = routing(1, PREFIXES, SERVICE);
        sidecar = new ClientSide(calendar, nodeSettings, round, () -> routing, seed);
        sidecar.endpoints(SERVICE, records);
    }

    private AnswerPath path(String node, PeerPath.Listener ear) {
        AnswerEndpoint endpoint = endpoints.get(Integer.parseInt(node));
        AnswerPath path = new AnswerPath(calendar, random.split(), ear, endpoint, bug);
        paths.add(path);
        return path;
    }

    private RoutingTable routing(long slot, List<String> prefixes, String service) {
        Map<String, MeshConfig.Route> routes = new LinkedHashMap<>();
        for (int i = 0; i < prefixes.size(); i++) {
            routes.put(
                    "r-" + i,
                    new MeshConfig.Route(
                            "h", prefixes.get(i), KINDS.get(i), deadlines[i], 0.5, 1, null, service, 2, true));
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

    /** Plays the schedule of this seed. */
    public static RelayPlay.Outcome play(long seed, AnswerBug bug) {
        return new AnswerPlay(seed, bug).play();
    }

    private RelayPlay.Outcome play() {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "a-" + i;
            calendar.at(random.nextDouble() * LENGTH, () -> begin(id));
        }
        for (int i = 0; i < CONFIGURATIONS; i++) {
            int slot = i + 2;
            calendar.at(random.nextDouble() * LENGTH, () -> configure(slot));
        }
        if (random.nextBoolean()) {
            calendar.at(LENGTH / 2 * random.nextDouble(), this::terminate);
        }
        for (double at = 0; at < LENGTH + CALM; at++) {
            calendar.runTo(at);
            endpoints.forEach(AnswerEndpoint::hear);
            if (at % TICK == 0) {
                sidecar.tick();
            }
            requests.values().forEach(Request::look);
            if (!ended && (sidecar.hasEnded() || at > termAt + GRACE_S * MS)) {
                end();
            }
        }
        requests.values().stream().filter(r -> r.answer == null).forEach(r -> broke(r.id + " was never answered"));
        return new RelayPlay.Outcome(List.copyOf(broken), Map.copyOf(figures), Map.of());
    }

    private void broke(String what) {
        broken.add("at " + calendar.now() + ": " + what);
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
        for (int i = 0; i < deadlines.length; i++) {
            deadlines[i] = 0.5 + 3 * random.nextDouble();
        }
        int how = random.nextInt(3);
        List<String> prefixes = how == 0 ? PREFIXES.subList(0, 1 + random.nextInt(2)) : PREFIXES;
        routing = routing(slot, prefixes, how == 1 ? "moved" : SERVICE);
        if (bug == AnswerBug.RECONNECTS_ON_CONFIGURATION) {
            List.copyOf(paths).forEach(AnswerPath::reconnect);
        }
    }

    private void terminate() {
        count("SIGTERMs");
        termAt = calendar.now();
        sidecar.terminate();
        if (bug == AnswerBug.ENDS_ON_SIGTERM) {
            end();
        }
    }

    private void end() {
        ended = true;
        requests.values().forEach(Request::cut);
    }

    // Whether the rules let an endpoint's work be broken off now: in the second half of the grace.
    private boolean inSecondHalf() {
        return calendar.now() >= termAt + GRACE_S * MS / 2;
    }

    /** What endpoints do. */
    private final class Work implements AnswerEndpoint.Observer {
        @Override
        public void ran(String id) {
            Request r = requests.get(id);
            count("runs");
            r.runs++;
            r.atWork++;
            if (r.promised) {
                broke(id + " ran after it was said that it never would");
            }
            if (r.sentAt > termAt + GRACE_S * MS / 2) {
                broke(id + " was begun in the second half of the grace");
            }
        }

        @Override
        public void said(String id, int status) {
            requests.get(id).said.add(status);
        }

        @Override
        public void ended(String id) {
            Request r = requests.get(id);
            r.atWork = Math.max(0, r.atWork - 1);
        }

        @Override
        public void whole(String id) {
            requests.get(id).whole = true;
        }
    }

    /** One request of a client's, and what endpoints and the client saw of it. */
    private final class Request {
        private final String id;
        private final boolean repeatable;
        private final double sentAt = calendar.now();
        private final double endAt;
        private final AnswerClient client = new AnswerClient(sidecar::accept);
        private final List<Integer> said = new ArrayList<>();
        private AnswerClient.Answer answer;
        private int runs;
        private int atWork;
        private boolean whole;
        private boolean promised;

        private Request(String id, int route) {
            this.id = id;
            this.repeatable = KINDS.get(route).equals(MeshConfig.IDEMPOTENT);
            int deadline = 300 + random.nextInt(4000);
            this.endAt = sentAt + Math.min(deadline, deadlines[route] * MS);
            requests.put(id, this);
            client.send(PREFIXES.get(route) + "x", id, deadline);
        }

        private void cut() {
            look();
            client.cut();
            look();
        }

        private void look() {
            if (answer != null) {
                return;
            }
            answer = client.hear();
            if (answer != null) {
                count((answer.seal() == null ? "own " : "endpoint's ") + answer.status());
                judge();
            } else if (!client.isOpen()) {
                broke(id + " was read, and its connection ended without a whole answer");
                answer = new AnswerClient.Answer(0, null, "");
            }
        }

        private void judge() {
            int status = answer.status();
            boolean success = status / 100 == 2;
            if (answer.seal() != null && !answer.seal().equals(AnswerEndpoint.seal(id, status))) {
                broke(id + " was answered " + status + " under the seal " + answer.seal());
            }
            boolean sound = answer.seal() != null && whole && answer.body().equals(AnswerEndpoint.body(id));
            if (success && !sound) {
                broke(id + " was answered with a success that is not its endpoint's whole one: " + answer);
            }
            if (!success && answer.seal() != null && !said.contains(status)) {
                broke(id + " was answered " + status + ", which no endpoint has said");
            }
            promised = !repeatable && status == 503;
            if (promised && runs > 0) {
                broke(id + " has run and was refused");
            }
            boolean own = !success && answer.seal() == null && status != 503 && status != 404;
            if (own && atWork > 0 && calendar.now() < endAt - MARGIN && !inSecondHalf()) {
                broke(id + " was answered " + status + " while its endpoint was at work");
            }
        }
    }
}
