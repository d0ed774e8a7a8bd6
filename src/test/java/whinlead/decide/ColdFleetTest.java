package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import whinlead.Contract;
import whinlead.testbed.DrivenClock;

/** The total load that many sidecars on one simulated clock put on the same servers, which start cold. */
class ColdFleetTest {
    private static final double COLD_SHARE = 0.12;
    private static final double COLD_TIME_MS = 24_000;
    private static final double FALL_TIME_MS = 1500;
    private static final double FALL_MULTIPLE = 4;
    private static final double TARGET_MS = 1000;
    private static final double DEADLINE_MS = 4000;
    /** Requests per second that a warm server handles, and the remaining time of an answer in ms. */
    private static final double WARM_CAPACITY_PER_SECOND = 30;

    private static final double ROUND_TRIP_MS = 90;
    private static final int SERVERS = 20;
    /** An unreachable machine does not answer, so that a connect fails after this time. */
    private static final double CONNECT_TIMEOUT_MS = 250;

    private final DrivenClock clock = new DrivenClock();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private int requests;
    private int served;
    private int sentToNotUp;
    private double worstOverload;

    /** A server that handles requests one at a time; its speed depends on how warm it is. */
    private final class Server {
        private double startedAtMs;
        private Contract.ServerState standing = Contract.ServerState.UP;
        private boolean silent;
        private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
        private double busyUntilMs;

        private Server(double startedAtMs) {
            this.startedAtMs = startedAtMs;
        }

        private double capacity() {
            double age = clock.nowMs() - startedAtMs;
            return WARM_CAPACITY_PER_SECOND
                    * (startedAtMs == 0 ? 1 : Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * age / COLD_TIME_MS));
        }

        private double recordArrival() {
            double nowMs = clock.nowMs();
            arrivals.add(nowMs);
            while (arrivals.peek() <= nowMs - FALL_TIME_MS) {
                arrivals.poll();
            }
            if (startedAtMs > 0) {
                worstOverload = Math.max(worstOverload, arrivals.size() * 1000 / FALL_TIME_MS / capacity());
            }
            busyUntilMs = Math.max(busyUntilMs, nowMs) + 1000 / capacity();
            return busyUntilMs + ROUND_TRIP_MS;
        }
    }

    private final class Sidecar extends NoActions {
        private final Contract.Events module;
        private final double perSecond;
        private final Random random;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private long nextId;

        private Sidecar(int ordinal, int sidecarCount, double perSecond) {
            Contract.RequestClass requestClass = new Contract.RequestClass(
                    "read", 1, 0, TARGET_MS, DEADLINE_MS, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
            this.module = new Decide(
                    new Contract.Settings(
                            List.of(requestClass),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, false, false, true, 2000, 0),
                            new Contract.Obligations(
                                    2000, FALL_MULTIPLE, FALL_TIME_MS, COLD_SHARE, COLD_TIME_MS, 10_000),
                            Contract.Reporting.NONE,
                            false,
                            sidecarCount,
                            ordinal),
                    ordinal,
                    this);
            this.perSecond = perSecond;
            this.random = new Random(ordinal);
        }

        private void start() {
            module.start(clock.nowMs());
            sendServerList();
            scheduleNextRequest();
        }

        private void sendServerList() {
            module.servers(
                    clock.nowMs(),
                    Contract.ListKind.FULL,
                    servers.entrySet().stream()
                            .filter(e -> e.getValue().standing != Contract.ServerState.GONE)
                            .map(e -> new Contract.Server(
                                    e.getKey(), e.getValue().standing, 1, "z", 0, e.getValue().startedAtMs))
                            .toList());
        }

        private void scheduleNextRequest() {
            clock.schedule(-Math.log(1 - random.nextDouble()) * 1000 / perSecond, () -> {
                requests++;
                module.request(clock.nowMs(), new Contract.Request(nextId++, 0, -1, DEADLINE_MS, false));
                scheduleNextRequest();
            });
        }

        @Override
        public void send(Contract.Request request, String server, double timeoutMs) {
            double sentAtMs = clock.nowMs();
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            Server target = servers.get(server);
            sentToNotUp += target.standing == Contract.ServerState.UP ? 0 : 1;
            if (target.silent) {
                clock.at(
                        sentAtMs + CONNECT_TIMEOUT_MS,
                        () -> module.outcome(
                                clock.nowMs(),
                                request,
                                attempt,
                                Contract.Outcome.CONNECT_FAILED,
                                CONNECT_TIMEOUT_MS,
                                false,
                                null));
                return;
            }
            double answeredAtMs = target.recordArrival();
            boolean late = answeredAtMs > sentAtMs + DEADLINE_MS;
            clock.at(Math.min(answeredAtMs, sentAtMs + DEADLINE_MS), () -> {
                served += answeredAtMs <= sentAtMs + TARGET_MS ? 1 : 0;
                attempts.remove(request.id);
                module.outcome(
                        clock.nowMs(),
                        request,
                        attempt,
                        late ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                        clock.nowMs() - sentAtMs,
                        true,
                        null);
            });
        }

        @Override
        public void wake(double timeMs) {
            clock.at(timeMs, () -> module.wake(clock.nowMs()));
        }
    }

    /**
     * Starts {@code count} sidecars whose total traffic is the share {@code load} of the warm capacity. The first has
     * half of it.
     */
    private void startSidecars(int count, double load) {
        clock.runTo(1);
        double totalPerSecond = SERVERS * WARM_CAPACITY_PER_SECOND * load;
        for (int i = 0; i < count; i++) {
            sidecars.add(new Sidecar(
                    i,
                    count,
                    count == 1 ? totalPerSecond : i == 0 ? totalPerSecond / 2 : totalPerSecond / 2 / (count - 1)));
        }
        sidecars.forEach(Sidecar::start);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void newServersSeenByAllAtOnceAreNotOverloaded(int count) {
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(0));
        }
        startSidecars(count, 0.7);
        clock.runTo(15_000);
        for (int i = 0; i < 3; i++) {
            servers.put("new" + i, new Server(clock.nowMs()));
        }
        sidecars.forEach(Sidecar::sendServerList);
        clock.runTo(30_000);
        assertTrue(worstOverload > 0.2, "new servers get traffic; worst overload: " + worstOverload);
        assertTrue(
                worstOverload < FALL_MULTIPLE,
                "worst load as a multiple of the capacity at that moment: " + worstOverload);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void coldFleetIsNotOverloadedByNewSidecars(int count) {
        clock.runTo(1);
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(clock.nowMs()));
        }
        // More than the servers can handle while cold.
        startSidecars(count, 0.5);
        clock.runTo(8000);
        assertTrue(
                worstOverload < FALL_MULTIPLE,
                "worst load as a multiple of the capacity at that moment: " + worstOverload);
        int before = served;
        clock.runTo(12_000);
        // From 8 s to 12 s the capacity is 0.41 to 0.56 of 600 requests per second.
        assertTrue(served - before > 400, "served in 4 s, of a capacity of about 1,160: " + (served - before));
    }

    private void addWarmServers() {
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(0));
        }
    }

    private void sendServerLists() {
        sidecars.forEach(Sidecar::sendServerList);
    }

    /** Runs until then and returns the share of its requests that were served within the latency target. */
    private double servedShareUntil(double endMs) {
        double fromMs = clock.nowMs();
        int requestsBefore = requests;
        int servedBefore = served;
        clock.runTo(endMs);
        double share = (double) (served - servedBefore) / (requests - requestsBefore);
        return fromMs < endMs ? share : 0;
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50"})
    void lostZoneThatReturnsColdIsNotOverloaded(int count) {
        addWarmServers();
        startSidecars(count, 0.45);
        clock.runTo(10_000);
        List<Server> zone = servers.values().stream().limit(7).toList();
        zone.forEach(s -> s.silent = true);
        double unknown = servedShareUntil(13_000);
        zone.forEach(s -> s.standing = Contract.ServerState.GONE);
        sendServerLists();
        double known = servedShareUntil(18_000);
        zone.forEach(s -> {
            s.silent = false;
            s.startedAtMs = clock.nowMs();
            s.standing = Contract.ServerState.UP;
        });
        sendServerLists();
        double back = servedShareUntil(26_000);
        assertTrue(unknown > 0.85, "served share with a third of the servers silent and still listed: " + unknown);
        assertTrue(known > 0.95, "served share after the list has removed them: " + known);
        assertTrue(back > 0.95, "served share after they are back and cold: " + back);
        assertTrue(
                worstOverload < FALL_MULTIPLE,
                "worst load as a multiple of a cold server's capacity: " + worstOverload);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50"})
    void replacingSixInTenServersWithinSevenSeconds(int count) {
        addWarmServers();
        startSidecars(count, 0.35);
        clock.runTo(10_000);
        List<Server> old = servers.values().stream().limit(12).toList();
        old.forEach(s -> s.standing = Contract.ServerState.DRAINING);
        sendServerLists();
        int before = sentToNotUp;
        double during = 0;
        for (int i = 0; i < 12; i++) {
            servers.put("n" + i, new Server(clock.nowMs()));
            sendServerLists();
            double share = servedShareUntil(clock.nowMs() + 580);
            during += share / 12;
        }
        old.forEach(s -> s.standing = Contract.ServerState.GONE);
        sendServerLists();
        double after = servedShareUntil(25_000);
        assertTrue(sentToNotUp == before, "sent to servers listed as draining: " + (sentToNotUp - before));
        assertTrue(during > 0.85, "served share during the replacement: " + during);
        assertTrue(after > 0.95, "served share after the replacement: " + after);
        assertTrue(
                worstOverload < FALL_MULTIPLE,
                "worst load as a multiple of a cold server's capacity: " + worstOverload);
    }

    @Test
    void lightSidecarIsServedWithoutAnyWarmServer() {
        clock.runTo(1);
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(clock.nowMs()));
        }
        sidecars.add(new Sidecar(0, 14, 5));
        sidecars.get(0).start();
        clock.runTo(10_000);
        assertTrue(served > 25, "served of 50 requests: " + served);
    }
}
