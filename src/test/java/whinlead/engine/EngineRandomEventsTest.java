package whinlead.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
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
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/** The engine with the real module under seeded random requests, outcomes and lists. */
class EngineRandomEventsTest {
    private static final int REQUESTS = 3000;
    private static final int ENDPOINTS = 6;
    private static final double GAP_MS = 4;
    private static final Outcome[] FAULTS = {Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED};
    /** One attempt in this many fails, and one never ends; between the two requests below every second one fails. */
    private static final int FAULT_EVERY = 20;

    private static final int OUTAGE_FROM = 1500;
    private static final int OUTAGE_TO = 2000;

    private final DrivenClock clock = new DrivenClock();
    private int accepted;

    /** One request, its result and the state of its attempts. */
    private final class TestRequest implements ResponseSink<String>, Transport<String> {
        final Contract.Effect effect;
        final double endByMs;
        final Random random;
        final List<Outcome> attempts = new ArrayList<>();
        int endCount;
        boolean refused;
        boolean abandoned;

        TestRequest(Contract.Effect effect, double timeoutMs, Random random) {
            this.effect = effect;
            this.endByMs = clock.nowMs() + timeoutMs;
            this.random = random;
        }

        private void end() {
            endCount++;
            assertEquals(1, endCount);
            assertTrue(!abandoned, "an answer after the request was abandoned");
            assertTrue(clock.nowMs() <= endByMs, "an answer after the client's time-out");
        }

        @Override
        public void served(String answer) {
            end();
        }

        @Override
        public void refused(double retryAfterMs) {
            end();
            refused = true;
            assertTrue(effect == Contract.Effect.SAFE || attempts.stream().allMatch(o -> o != null && o.neverRan));
        }

        @Override
        public void failed() {
            end();
        }

        @Override
        public AttemptHandle send(String endpoint, int attempt, double timeoutMs, OutcomeListener<String> listener) {
            assertEquals(0, endCount, "an attempt was sent after the answer");
            assertEquals(attempts.size(), attempt);
            assertTrue(
                    effect == Contract.Effect.SAFE || attempts.stream().allMatch(o -> o != null && o.neverRan),
                    "an unsafe request that may have run was sent again");
            attempts.add(null);
            boolean faulty = random.nextInt(accepted > OUTAGE_FROM && accepted < OUTAGE_TO ? 2 : FAULT_EVERY) == 0;
            Outcome outcome = faulty ? FAULTS[random.nextInt(FAULTS.length)] : Outcome.SERVED;
            boolean written = random.nextInt(4) > 0;
            if (random.nextInt(FAULT_EVERY) > 0) {
                clock.schedule(random.nextInt(40), () -> end(attempt, outcome, listener));
            }
            return () -> {
                attempts.set(attempt, written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
                return written;
            };
        }

        // As required of a transport, the outcome of an aborted attempt is not reported.
        private void end(int attempt, Outcome outcome, OutcomeListener<String> listener) {
            if (attempts.get(attempt) == null) {
                attempts.set(attempt, outcome);
                listener.ended(outcome, outcome == Outcome.SERVED ? "answer" : null, null);
            }
        }
    }

    /** Passes events to the real module and counts the outcomes of each attempt. */
    private static final class OutcomeCounter extends ScriptedModule {
        private final Map<String, Integer> outcomes = new HashMap<>();
        private Contract.Events module;

        @Override
        public void start(double nowMs) {
            module.start(nowMs);
        }

        @Override
        public void servers(double nowMs, Contract.ListKind kind, List<Contract.Server> entries) {
            module.servers(nowMs, kind, entries);
        }

        @Override
        public void request(double nowMs, Contract.Request request) {
            module.request(nowMs, request);
        }

        @Override
        public void outcome(
                double nowMs,
                Contract.Request request,
                int attempt,
                Outcome outcome,
                double durationMs,
                boolean finished,
                Contract.Report report) {
            outcomes.merge(request.id + "/" + attempt, 1, Integer::sum);
            module.outcome(nowMs, request, attempt, outcome, durationMs, finished, report);
        }

        @Override
        public void abandoned(double nowMs, Contract.Request request) {
            module.abandoned(nowMs, request);
        }

        @Override
        public void wake(double nowMs) {
            module.wake(nowMs);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyRequestHasOneEndInTimeAndEveryAttemptOneOutcome(long seed) {
        Random random = new Random(seed);
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("read", 5, Contract.Effect.SAFE),
                Settings.type("write", 2, Contract.Effect.UNSAFE));
        List<String> log = new ArrayList<>();
        OutcomeCounter counter = new OutcomeCounter();
        Engine engine = new Engine(
                clock,
                settings,
                actions -> {
                    counter.module = new Decide(settings, seed, actions);
                    return counter;
                },
                list -> {},
                log::add);
        engine.start(() -> {}, list(random));
        List<TestRequest> all = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int classIndex = random.nextInt(2);
            double timeoutMs = 50 + random.nextInt(500);
            TestRequest request =
                    new TestRequest(settings.classes().get(classIndex).effect(), timeoutMs, random);
            all.add(request);
            accepted++;
            Engine.PendingRequest<String> pending =
                    engine.accept(new Request(classIndex, -1, timeoutMs, false), request, request);
            if (random.nextInt(10) == 0) {
                clock.schedule(random.nextInt(100), () -> {
                    request.abandoned |= request.endCount == 0;
                    pending.abandon();
                });
            }
            if (random.nextInt(100) == 0) {
                engine.listReceived(Contract.ListKind.FULL, list(random));
            }
            clock.runTo(clock.nowMs() + random.nextDouble() * 2 * GAP_MS);
        }
        clock.runTo(clock.nowMs() + 2000);
        assertEquals(List.of(), log);
        assertTrue(all.stream().allMatch(o -> o.endCount == (o.abandoned ? 0 : 1)));
        int sent = all.stream().mapToInt(o -> o.attempts.size()).sum();
        assertTrue(sent > REQUESTS / 2, "too few attempts sent: " + sent);
        assertTrue(counter.outcomes.values().stream().allMatch(n -> n == 1));
        assertTrue(counter.outcomes.size() >= sent, "attempts without an outcome");
        assertTrue(all.stream().anyMatch(o -> o.refused), "nothing was refused");
    }

    private static EndpointList list(Random random) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Contract.ServerState state =
                    random.nextInt(4) == 0 ? Contract.ServerState.DRAINING : Contract.ServerState.UP;
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, state, 1, "z", 0, 0), InetSocketAddress.createUnresolved("none", 1)));
        }
        return new EndpointList(1, true, entries);
    }
}
