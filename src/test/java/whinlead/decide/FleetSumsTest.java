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

/**
 * How many connections and handshakes a fleet of light sidecars needs at one server and how much it probes, checked
 * against the figures of docs/large-fleet.md.
 */
class FleetSumsTest {
    private static final int SERVERS = 60;
    private static final double PER_SECOND = 2;
    private static final double ANSWER_MS = 100;
    private static final double TARGET_MS = 1000;
    private static final double DEADLINE_MS = 4000;
    /** An idle connection is closed after this time, and the figures are taken over this time. */
    private static final double IDLE_MS = 10_000;

    private static final double RUN_MS = 30_000;
    private static final double PROBE_COST = 0.002;
    private static final double PROBES_PER_REQUEST = 4;

    private final DrivenClock clock = new DrivenClock();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private int requests;
    private int probes;

    /** A sidecar's connections to one server: the most recently used idle one is reused, else one is opened. */
    private static final class ConnectionPool {
        private final ArrayDeque<Double> idleSinceMs = new ArrayDeque<>();
        private int inUse;
        private int opened;

        private void send(double nowMs) {
            closeIdle(nowMs);
            inUse++;
            if (idleSinceMs.pollLast() == null) {
                opened++;
            }
        }

        private void answered(double nowMs) {
            inUse--;
            idleSinceMs.addLast(nowMs);
        }

        private void closeIdle(double nowMs) {
            while (!idleSinceMs.isEmpty() && idleSinceMs.peekFirst() < nowMs - IDLE_MS) {
                idleSinceMs.pollFirst();
            }
        }

        private int openCount(double nowMs) {
            closeIdle(nowMs);
            return inUse + idleSinceMs.size();
        }
    }

    private final class Sidecar extends NoActions {
        private final Contract.Events module;
        private final Random random;
        private final Map<String, ConnectionPool> pools = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private long nextId;

        private Sidecar(int ordinal, int sidecarCount, boolean probing) {
            Contract.RequestClass requestClass = new Contract.RequestClass(
                    "read", 1, 0, TARGET_MS, DEADLINE_MS, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
            module = new Decide(
                    new Contract.Settings(
                            List.of(requestClass),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, probing, false, true, 2000, PROBE_COST),
                            new Contract.Obligations(2000, 4, 1500, 0.12, 24_000, 10_000),
                            probing ? Contract.Reporting.WITH_PROBES : Contract.Reporting.NONE,
                            false,
                            sidecarCount,
                            ordinal),
                    ordinal,
                    this);
            random = new Random(ordinal);
        }

        private void start() {
            module.start(clock.nowMs());
            module.servers(clock.nowMs(), Contract.ListKind.FULL, Rig.fleet(SERVERS));
            scheduleNextRequest();
        }

        private void scheduleNextRequest() {
            clock.schedule(-Math.log(1 - random.nextDouble()) * 1000 / PER_SECOND, () -> {
                requests++;
                module.request(clock.nowMs(), new Contract.Request(nextId++, 0, -1, DEADLINE_MS, false));
                scheduleNextRequest();
            });
        }

        @Override
        public boolean connected(Contract.Request request, String server) {
            ConnectionPool pool = pools.get(server);
            return pool != null && pool.openCount(clock.nowMs()) > pool.inUse;
        }

        @Override
        public void send(Contract.Request request, String server, double timeoutMs) {
            double sentAtMs = clock.nowMs();
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            ConnectionPool pool = pools.computeIfAbsent(server, id -> new ConnectionPool());
            pool.send(sentAtMs);
            clock.schedule(ANSWER_MS * (0.5 + random.nextDouble()), () -> {
                pool.answered(clock.nowMs());
                attempts.remove(request.id);
                module.outcome(
                        clock.nowMs(), request, attempt, Contract.Outcome.SERVED, clock.nowMs() - sentAtMs, true, null);
            });
        }

        @Override
        public void probe(String server) {
            probes++;
            clock.schedule(1, () -> module.probed(clock.nowMs(), server, Contract.Outcome.SERVED, 1, null));
        }

        @Override
        public void wake(double timeMs) {
            clock.at(timeMs, () -> module.wake(clock.nowMs()));
        }
    }

    private void run(int count, boolean probing) {
        clock.runTo(1);
        for (int i = 0; i < count; i++) {
            sidecars.add(new Sidecar(i, count, probing));
        }
        sidecars.forEach(Sidecar::start);
        clock.runTo(RUN_MS);
    }

    /**
     * The documented size of a subset: eight servers while there is room for the connections of all sidecars, fewer
     * beyond that, and at least three.
     */
    private static int expectedSubsetSize(int count) {
        return Math.max(3, Math.min(8, (int) Math.ceil(SERVERS * 12.0 / count)));
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200", "1000"})
    void connectionsAndHandshakesStayWithinTheStatedTotals(int count) {
        run(count, false);
        double nowMs = clock.nowMs();
        double mean = (double) count * expectedSubsetSize(count) / SERVERS;
        int open = 0;
        int opened = 0;
        for (int i = 0; i < SERVERS; i++) {
            String id = "s" + i;
            int users = 0;
            for (Sidecar s : sidecars) {
                ConnectionPool pool = s.pools.get(id);
                users += pool == null ? 0 : 1;
                open += pool == null ? 0 : pool.openCount(nowMs);
                opened += pool == null ? 0 : pool.opened;
            }
            assertTrue(
                    users <= mean + 4 * Math.sqrt(mean) + 1, users + " sidecars at " + id + ", expected mean " + mean);
        }
        for (Sidecar s : sidecars) {
            assertTrue(
                    s.pools.size() <= expectedSubsetSize(count),
                    s.pools.size() + " servers of " + expectedSubsetSize(count));
        }
        double maxConnections = 1.1 * count * expectedSubsetSize(count);
        assertTrue(open <= maxConnections, open + " open connections of the fleet, expected at most " + maxConnections);
        assertTrue(opened <= maxConnections * (1 + RUN_MS / IDLE_MS), opened + " handshakes of the fleet");
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void probesStayWithinTheirBudget(int count) {
        run(count, true);
        assertTrue(probes > requests / 2, probes + " probes for " + requests + " requests");
        double maxProbes = PROBES_PER_REQUEST * requests + (double) count * expectedSubsetSize(count);
        assertTrue(probes <= maxProbes, probes + " probes, expected at most " + maxProbes);
    }

    @ParameterizedTest
    @CsvSource({"14", "200"})
    void serversOutsideAllSubsetsAreAsFewAsChanceGives(int count) {
        run(count, false);
        Set<String> used = new HashSet<>();
        sidecars.forEach(s -> used.addAll(s.pools.keySet()));
        // The probability that a server is in no subset is (1 - subset / servers) to the power of the number of
        // sidecars.
        double unusedShare = Math.pow(1 - (double) expectedSubsetSize(count) / SERVERS, count);
        assertEquals(SERVERS * (1 - unusedShare), used.size(), 4 * Math.sqrt(SERVERS * unusedShare) + 1);
    }
}
