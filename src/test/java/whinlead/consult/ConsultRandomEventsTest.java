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
 * Proxies that resend on their own, lose reports, report late, twice or of nothing, and die, drawn by a seed; what
 * truly ran is known.
 */
class ConsultRandomEventsTest {
    private static final int REQUESTS = 3000;
    private static final int PROXIES = 4;
    private static final int ENDPOINTS = 6;
    private static final double GAP_MS = 4;
    /** One in so many is full, reset, or its report is lost or comes twice. */
    private static final int RARE = 30;

    private static final double GRACE = 1000;

    private final DrivenClock clock = new DrivenClock();
    private final Map<String, Double> drainedAt = new HashMap<>();
    private final Map<String, Integer> totals = new HashMap<>();
    private Random dice;
    private Consultations all;
    private Peer[] proxies;

    /** One request of a proxy's client and what truly became of it. */
    private final class One {
        final String id;
        final int classIndex;
        final Request ask;
        int runs;
        int sends;
        boolean refused;

        One(String id, int classIndex) {
            this.id = id;
            this.classIndex = classIndex;
            this.ask = new Request(classIndex, -1, 50 + dice.nextInt(400), false);
        }

        void ask() {
            all.ask(proxies[dice.nextInt(PROXIES)], id, ask, this::told);
        }

        void told(Directive d) {
            totals.merge(d.getClass().getSimpleName(), 1, Integer::sum);
            if (d instanceof Directive.Send send) {
                sends++;
                assertTrue(classIndex == 0 || runs == 0, "told to send what may have run");
                assertTrue(classIndex == 0 || !refused, "told to send what was refused");
                // A proxy that obeys sends before the answer is no longer valid.
                clock.after(dice.nextDouble() * send.valid(), () -> send(send));
            } else if (d instanceof Directive.Refused) {
                refused = true;
                assertTrue(classIndex == 0 || runs == 0, "refused, but ran");
            }
        }

        private void send(Directive.Send send) {
            Double drained = drainedAt.get(send.endpoint());
            assertTrue(drained == null || clock.now() <= drained + GRACE, "sent to a drained endpoint");
            boolean runs = dice.nextInt(RARE) > 0;
            Outcome truth = runs ? dice.nextInt(RARE) > 0 ? Outcome.SERVED : Outcome.RESET : Outcome.FULL;
            this.runs += runs ? 1 : 0;
            if (dice.nextInt(10) == 0) {
                // It times out on its own and tries again, before it has reported or instead of it.
                clock.after(dice.nextInt(30), this::ask);
            }
            int reports = dice.nextInt(2 * RARE) == 0 ? 0 : dice.nextInt(RARE) == 0 ? 2 : 1;
            for (int i = 0; i < reports; i++) {
                clock.after(dice.nextInt(40), () -> report(send, truth));
            }
        }

        private void report(Directive.Send send, Outcome truth) {
            int kind = dice.nextInt(30);
            if (kind == 0) {
                all.outcome(id, send.attempt() + 1, null, Outcome.ERROR, null, this::told);
            } else if (kind == 1) {
                all.streaming(id, send.attempt());
            } else if (kind == 2) {
                all.gone(id);
            }
            boolean comesAgain = dice.nextInt(4) == 0;
            all.outcome(id, send.attempt(), send.endpoint(), truth, null, comesAgain ? null : this::told);
            if (comesAgain && truth != Outcome.SERVED) {
                clock.after(dice.nextInt(20), this::ask);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingUnsafeRunsTwiceAndNothingStaysOpen(long seed) {
        dice = new Random(seed);
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
                clock, settings, actions -> new Decide(settings, seed, actions), list -> all.update(list), log::add);
        all = new Consultations(engine, clock, settings, new Bounds(2000, 1000, 10_000, 60_000, 100), log::add);
        engine.start(() -> {}, list());
        List<One> ones = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            One one = new One("r" + i, dice.nextInt(2));
            ones.add(one);
            one.ask();
            if (dice.nextInt(300) == 0) {
                engine.list(Contract.ListKind.FULL, list());
            }
            if (dice.nextInt(300) == 0) {
                all.gone(proxies[dice.nextInt(PROXIES)]);
            }
            clock.runTo(clock.now() + dice.nextDouble() * 2 * GAP_MS);
        }
        clock.runTo(clock.now() + 3000);
        assertTrue(log.stream().noneMatch(l -> l.startsWith("decision failed")), log::toString);
        assertEquals(0, all.open());
        for (Peer p : proxies) {
            assertEquals(0, p.open());
        }
        assertTrue(ones.stream().allMatch(o -> o.classIndex == 0 || o.runs <= 1), "an unsafe one ran twice");
        assertTrue(totals.get("Send") > REQUESTS / 3, totals::toString);
        for (String kind : List.of("Served", "Refused", "Failed", "AlreadyOut")) {
            assertTrue(totals.containsKey(kind), totals::toString);
        }
        assertTrue(ones.stream().anyMatch(o -> o.sends > 1), "nothing was tried again");
    }

    private EndpointList list() {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            boolean drains = i > 1 && dice.nextInt(4) == 0;
            String id = "s" + i;
            if (drains) {
                drainedAt.putIfAbsent(id, clock.now());
            } else {
                drainedAt.remove(id);
            }
            entries.add(new EndpointList.Entry(
                    new Contract.Server(id, drains ? Contract.Standing.DRAINING : Contract.Standing.UP, 1, "z", 0, 0),
                    EndpointList.address("127.0.0.1:" + (i + 1))));
        }
        return new EndpointList(1, true, entries);
    }
}
