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

/** The engine with the real module under random fronts, endpoints and lists, drawn by a seed. */
class EngineRandomEventsTest {
    private static final int REQUESTS = 3000;
    private static final int ENDPOINTS = 6;
    private static final double GAP_MS = 4;
    private static final Outcome[] FAULTS = {Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED};
    /** One attempt in so many ends badly, and one never; between these two requests one in two does. */
    private static final int BAD = 20;

    private static final int WORSE_FROM = 1500;
    private static final int WORSE_TO = 2000;

    private final DrivenClock clock = new DrivenClock();
    private int taken;

    /** One request, what became of it and where its attempts stand. */
    private final class One implements ResponseSink<String>, Transport<String> {
        final Contract.Effect effect;
        final double endBy;
        final Random dice;
        final List<Outcome> attempts = new ArrayList<>();
        int ends;
        boolean refused;
        boolean abandoned;

        One(Contract.Effect effect, double timeout, Random dice) {
            this.effect = effect;
            this.endBy = clock.now() + timeout;
            this.dice = dice;
        }

        private void end() {
            ends++;
            assertEquals(1, ends);
            assertTrue(!abandoned, "an end for a caller that is gone");
            assertTrue(clock.now() <= endBy, "an end after the client's time");
        }

        @Override
        public void served(String answer) {
            end();
        }

        @Override
        public void refused(double retryAfter) {
            end();
            refused = true;
            assertTrue(effect == Contract.Effect.SAFE || attempts.stream().allMatch(o -> o != null && o.neverRan));
        }

        @Override
        public void failed() {
            end();
        }

        @Override
        public Sending send(String endpoint, int attempt, double within, Outcomes<String> told) {
            assertEquals(0, ends, "an attempt after the end");
            assertEquals(attempts.size(), attempt);
            assertTrue(
                    effect == Contract.Effect.SAFE || attempts.stream().allMatch(o -> o != null && o.neverRan),
                    "an unsafe request goes out again that may have run");
            attempts.add(null);
            boolean bad = dice.nextInt(taken > WORSE_FROM && taken < WORSE_TO ? 2 : BAD) == 0;
            Outcome how = bad ? FAULTS[dice.nextInt(FAULTS.length)] : Outcome.SERVED;
            boolean written = dice.nextInt(4) > 0;
            if (dice.nextInt(BAD) > 0) {
                clock.after(dice.nextInt(40), () -> end(attempt, how, told));
            }
            return () -> {
                attempts.set(attempt, written ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED);
                return written;
            };
        }

        // As a transport must, it tells nothing of what was given up.
        private void end(int attempt, Outcome how, Outcomes<String> told) {
            if (attempts.get(attempt) == null) {
                attempts.set(attempt, how);
                told.ended(how, how == Outcome.SERVED ? "answer" : null, null);
            }
        }
    }

    /** The real module, seen from outside: each attempt is told of once. */
    private static final class Watched extends ScriptedModule {
        private final Map<String, Integer> outcomes = new HashMap<>();
        private Contract.Events real;

        @Override
        public void start(double now) {
            real.start(now);
        }

        @Override
        public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
            real.servers(now, kind, entries);
        }

        @Override
        public void request(double now, Contract.Request request) {
            real.request(now, request);
        }

        @Override
        public void outcome(
                double now,
                Contract.Request request,
                int attempt,
                Outcome outcome,
                double took,
                boolean finished,
                Contract.Report report) {
            outcomes.merge(request.id + "/" + attempt, 1, Integer::sum);
            real.outcome(now, request, attempt, outcome, took, finished, report);
        }

        @Override
        public void abandoned(double now, Contract.Request request) {
            real.abandoned(now, request);
        }

        @Override
        public void wake(double now) {
            real.wake(now);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyRequestHasOneEndInTimeAndEveryAttemptOneOutcome(long seed) {
        Random dice = new Random(seed);
        Contract.Settings settings = Settings.of(
                true,
                Settings.type("read", 5, Contract.Effect.SAFE),
                Settings.type("write", 2, Contract.Effect.UNSAFE));
        List<String> log = new ArrayList<>();
        Watched watched = new Watched();
        Engine engine = new Engine(
                clock,
                settings,
                actions -> {
                    watched.real = new Decide(settings, seed, actions);
                    return watched;
                },
                list -> {},
                log::add);
        engine.start(() -> {}, list(dice));
        List<One> all = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            int k = dice.nextInt(2);
            double timeout = 50 + dice.nextInt(500);
            One one = new One(settings.classes().get(k).effect(), timeout, dice);
            all.add(one);
            taken++;
            Engine.Held<String> held = engine.take(new Request(k, -1, timeout, false), one, one);
            if (dice.nextInt(10) == 0) {
                clock.after(dice.nextInt(100), () -> {
                    one.abandoned |= one.ends == 0;
                    held.abandon();
                });
            }
            if (dice.nextInt(100) == 0) {
                engine.list(Contract.ListKind.FULL, list(dice));
            }
            clock.runTo(clock.now() + dice.nextDouble() * 2 * GAP_MS);
        }
        clock.runTo(clock.now() + 2000);
        assertEquals(List.of(), log);
        assertTrue(all.stream().allMatch(o -> o.ends == (o.abandoned ? 0 : 1)));
        int sent = all.stream().mapToInt(o -> o.attempts.size()).sum();
        assertTrue(sent > REQUESTS / 2, "only " + sent + " went out");
        assertTrue(watched.outcomes.values().stream().allMatch(n -> n == 1));
        assertTrue(watched.outcomes.size() >= sent, "attempts without an outcome");
        assertTrue(all.stream().anyMatch(o -> o.refused), "nothing was refused");
    }

    private static EndpointList list(Random dice) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Contract.Standing standing = dice.nextInt(4) == 0 ? Contract.Standing.DRAINING : Contract.Standing.UP;
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, standing, 1, "z", 0, 0),
                    InetSocketAddress.createUnresolved("none", 1)));
        }
        return new EndpointList(1, true, entries);
    }
}
