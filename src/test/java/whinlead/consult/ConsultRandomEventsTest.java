package whinlead.consult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import whinlead.Contract;
import whinlead.Contract.Outcome;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/**
 * Seeded random proxies that resend on their own, lose reports, report late, twice or for unknown attempts, and are
 * lost; the test records what actually ran.
 */
class ConsultRandomEventsTest {
    private static final int REQUESTS = 3000;
    private static final int PROXIES = 4;
    private static final int ENDPOINTS = 6;
    private static final double GAP_MS = 4;
    /** One in this many is full or reset, or its report is lost or sent twice. */
    private static final int RARE_ONE_IN = 30;

    private static final double GRACE_MS = 1000;

    private final DrivenClock clock = new DrivenClock();
    private final Map<String, Double> drainedAtMs = new HashMap<>();
    private final Map<String, Integer> totals = new HashMap<>();
    private Random random;
    private Consultations consultations;
    private Peer[] proxies;

    /** One request of a proxy's client and what actually happened to it. */
    private final class ClientRequest {
        final String id;
        final int classIndex;
        final Request request;
        int runs;
        int sends;
        boolean refused;

        ClientRequest(String id, int classIndex) {
            this.id = id;
            this.classIndex = classIndex;
            this.request = new Request(classIndex, -1, 50 + random.nextInt(400), false);
        }

        void request() {
            consultations.ask(proxies[random.nextInt(PROXIES)], id, request, this::directed);
        }

        void directed(Directive directive) {
            totals.merge(directive.getClass().getSimpleName(), 1, Integer::sum);
            if (directive instanceof Directive.Send send) {
                sends++;
                assertTrue(classIndex == 0 || runs == 0, "directed to send a request that may have run");
                assertTrue(classIndex == 0 || !refused, "directed to send a refused request");
                // A conforming proxy sends while the directive is valid.
                clock.schedule(random.nextDouble() * send.validMs(), () -> send(send));
            } else if (directive instanceof Directive.Refused) {
                refused = true;
                assertTrue(classIndex == 0 || runs == 0, "refused a request that ran");
            }
        }

        private void send(Directive.Send send) {
            Double drained = drainedAtMs.get(send.endpoint());
            assertTrue(drained == null || clock.nowMs() <= drained + GRACE_MS, "sent to a drained endpoint");
            boolean runs = random.nextInt(RARE_ONE_IN) > 0;
            Outcome truth = runs ? random.nextInt(RARE_ONE_IN) > 0 ? Outcome.SERVED : Outcome.RESET : Outcome.FULL;
            this.runs += runs ? 1 : 0;
            if (random.nextInt(10) == 0) {
                // The proxy times out on its own and retries, before its report or instead of it.
                clock.schedule(random.nextInt(30), this::request);
            }
            int reports = random.nextInt(2 * RARE_ONE_IN) == 0 ? 0 : random.nextInt(RARE_ONE_IN) == 0 ? 2 : 1;
            for (int i = 0; i < reports; i++) {
                clock.schedule(random.nextInt(40), () -> report(send, truth));
            }
        }

        private void report(Directive.Send send, Outcome truth) {
            int kind = random.nextInt(30);
            if (kind == 0) {
                consultations.outcome(id, send.attempt() + 1, null, Outcome.ERROR, null, this::directed);
            } else if (kind == 1) {
                consultations.streaming(id, send.attempt());
            } else if (kind == 2) {
                consultations.abandoned(id);
            }
            boolean comesAgain = random.nextInt(4) == 0;
            consultations.outcome(id, send.attempt(), send.endpoint(), truth, null, comesAgain ? null : this::directed);
            if (comesAgain && truth != Outcome.SERVED) {
                clock.schedule(random.nextInt(20), this::request);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingUnsafeRunsTwiceAndNothingStaysOpen(long seed) {
        random = new Random(seed);
        proxies = new Peer[PROXIES];
        for (int i = 0; i < PROXIES; i++) {
            proxies[i] = new Peer();
        }
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("read", 1, Contract.Effect.SAFE),
                Settings.type("job-submit", 1, Contract.Effect.UNSAFE));
        List<String> log = new ArrayList<>();
        Engine engine = new Engine(
                clock,
                settings,
                actions -> new Decide(settings, seed, actions),
                list -> consultations.update(list),
                log::add);
        consultations =
                new Consultations(engine, clock, settings, new Bounds(2000, 1000, 10_000, 60_000, 100), log::add);
        engine.start(() -> {}, list());
        List<ClientRequest> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            ClientRequest request = new ClientRequest("r" + i, random.nextInt(2));
            requests.add(request);
            request.request();
            if (random.nextInt(300) == 0) {
                engine.listReceived(Contract.ListKind.FULL, list());
            }
            if (random.nextInt(300) == 0) {
                consultations.abandoned(proxies[random.nextInt(PROXIES)]);
            }
            clock.runTo(clock.nowMs() + random.nextDouble() * 2 * GAP_MS);
        }
        clock.runTo(clock.nowMs() + 3000);
        assertTrue(log.stream().noneMatch(l -> l.startsWith("decision failed")), log::toString);
        assertEquals(0, consultations.open());
        for (Peer p : proxies) {
            assertEquals(0, p.open());
        }
        assertTrue(requests.stream().allMatch(o -> o.classIndex == 0 || o.runs <= 1), "an unsafe request ran twice");
        assertTrue(totals.get("Send") > REQUESTS / 3, totals::toString);
        for (String kind : List.of("Served", "Refused", "Failed", "AlreadyOut")) {
            assertTrue(totals.containsKey(kind), totals::toString);
        }
        assertTrue(requests.stream().anyMatch(o -> o.sends > 1), "nothing was retried");
    }

    private EndpointList list() {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            boolean drains = i > 1 && random.nextInt(4) == 0;
            String id = "s" + i;
            if (drains) {
                drainedAtMs.putIfAbsent(id, clock.nowMs());
            } else {
                drainedAtMs.remove(id);
            }
            entries.add(new EndpointList.Entry(
                    new Contract.Server(
                            id, drains ? Contract.ServerState.DRAINING : Contract.ServerState.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (i + 1))));
        }
        return new EndpointList(1, true, entries);
    }
}
