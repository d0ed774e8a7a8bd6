package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.Contract;
import whinlead.testbed.DrivenClock;

/** What a fleet of light sidecars holds open at one server, makes anew and probes: the sums of docs/large-fleet.md. */
class FleetSumsTest {
    private static final int SERVERS = 60;
    private static final double PER_SECOND = 2;
    private static final double ANSWER = 100;
    private static final double AIM = 1000;
    private static final double DEADLINE = 4000;
    /** An idle connection is closed after so long, and the figures are taken over so long. */
    private static final double IDLE = 10_000;

    private static final double SPAN = 30_000;
    private static final double PROBE_COST = 0.002;
    private static final double PROBES_A_REQUEST = 4;

    private final DrivenClock clock = new DrivenClock();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private int asked;
    private int probes;

    /** Connections as the sidecar keeps them: a free one is used, last used first, else one is made. */
    private static final class Line {
        private final ArrayDeque<Double> free = new ArrayDeque<>();
        private int out;
        private int made;

        private void send(double now) {
            close(now);
            out++;
            if (free.pollLast() == null) {
                made++;
            }
        }

        private void answered(double now) {
            out--;
            free.addLast(now);
        }

        private void close(double now) {
            while (!free.isEmpty() && free.peekFirst() < now - IDLE) {
                free.pollFirst();
            }
        }

        private int open(double now) {
            close(now);
            return out + free.size();
        }
    }

    private final class Sidecar extends NoActions {
        private final Contract.Events module;
        private final Random dice;
        private final Map<String, Line> lines = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private long ids;

        private Sidecar(int ordinal, int of, boolean probing) {
            Contract.RequestClass type = new Contract.RequestClass(
                    "read", 1, 0, AIM, DEADLINE, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
            module = new Decide(
                    new Contract.Settings(
                            List.of(type),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, probing, false, true, 2000, PROBE_COST),
                            new Contract.Obligations(2000, 4, 1500, 0.12, 24_000, 10_000),
                            probing ? Contract.Reporting.WITH_PROBES : Contract.Reporting.NONE,
                            false,
                            of,
                            ordinal),
                    ordinal,
                    this);
            dice = new Random(ordinal);
        }

        private void start() {
            module.start(clock.now());
            module.servers(clock.now(), Contract.ListKind.FULL, Rig.fleet(SERVERS));
            next();
        }

        private void next() {
            clock.after(-Math.log(1 - dice.nextDouble()) * 1000 / PER_SECOND, () -> {
                asked++;
                module.request(clock.now(), new Contract.Request(ids++, 0, -1, DEADLINE, false));
                next();
            });
        }

        @Override
        public boolean connected(Contract.Request request, String server) {
            Line line = lines.get(server);
            return line != null && line.open(clock.now()) > line.out;
        }

        @Override
        public void send(Contract.Request request, String server, double within) {
            double sentAt = clock.now();
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            Line line = lines.computeIfAbsent(server, id -> new Line());
            line.send(sentAt);
            clock.after(ANSWER * (0.5 + dice.nextDouble()), () -> {
                line.answered(clock.now());
                attempts.remove(request.id);
                module.outcome(
                        clock.now(), request, attempt, Contract.Outcome.SERVED, clock.now() - sentAt, true, null);
            });
        }

        @Override
        public void probe(String server) {
            probes++;
            clock.after(1, () -> module.probed(clock.now(), server, Contract.Outcome.SERVED, 1, null));
        }

        @Override
        public void wake(double at) {
            clock.at(at, () -> module.wake(clock.now()));
        }
    }

    private void run(int count, boolean probing) {
        clock.runTo(1);
        for (int i = 0; i < count; i++) {
            sidecars.add(new Sidecar(i, count, probing));
        }
        sidecars.forEach(Sidecar::start);
        clock.runTo(SPAN);
    }

    /** As stated: eight servers while all together have room for them, the room's part beyond, three at least. */
    private static int subset(int count) {
        return Math.max(3, Math.min(8, (int) Math.ceil(SERVERS * 12.0 / count)));
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void sidecarsAtOneServerAndTheirHandshakesStayWithinTheSums(int count) {
        run(count, false);
        double now = clock.now();
        double mean = (double) count * subset(count) / SERVERS;
        int open = 0;
        int made = 0;
        for (int i = 0; i < SERVERS; i++) {
            String id = "s" + i;
            int users = 0;
            for (Sidecar s : sidecars) {
                Line line = s.lines.get(id);
                users += line == null ? 0 : 1;
                open += line == null ? 0 : line.open(now);
                made += line == null ? 0 : line.made;
            }
            assertTrue(users <= mean + 4 * Math.sqrt(mean) + 1, users + " sidecars at " + id + ", on average " + mean);
        }
        for (Sidecar s : sidecars) {
            assertTrue(s.lines.size() <= subset(count), s.lines.size() + " servers of " + subset(count));
        }
        double lines = 1.1 * count * subset(count);
        assertTrue(open <= lines, open + " connections of the fleet, at most " + lines);
        assertTrue(made <= lines * (1 + SPAN / IDLE), made + " handshakes of the fleet");
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void probesStayWithinWhatRequestsPayForAndOneForEachServerOfASubset(int count) {
        run(count, true);
        assertTrue(probes > asked / 2, probes + " probes for " + asked + " requests");
        double most = PROBES_A_REQUEST * asked + (double) count * subset(count);
        assertTrue(probes <= most, probes + " probes, at most " + most);
    }

    @ParameterizedTest
    @CsvSource({"14", "200"})
    void everyServerIsUsedWhereTheSumsReachAll(int count) {
        run(count, false);
        Set<String> used = new HashSet<>();
        sidecars.forEach(s -> used.addAll(s.lines.keySet()));
        // By chance a server is in nobody's subset: (1 - subset / servers) to the power of the sidecars.
        double nobody = Math.pow(1 - (double) subset(count) / SERVERS, count);
        assertEquals(SERVERS * (1 - nobody), used.size(), 4 * Math.sqrt(SERVERS * nobody) + 1);
    }
}
