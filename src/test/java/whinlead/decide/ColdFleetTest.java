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

/** Many sidecars under one driven clock before the same servers, which start cold: what they send in sum. */
class ColdFleetTest {
    private static final double COLD_SHARE = 0.12;
    private static final double COLD_TIME = 24_000;
    private static final double FALL_TIME = 1500;
    private static final double FALL_MULTIPLE = 4;
    private static final double AIM = 1000;
    private static final double DEADLINE = 4000;
    /** Requests a second that a warm server can do, and what else an answer takes. */
    private static final double WARM = 30;

    private static final double AWAY = 90;
    private static final int SERVERS = 20;
    /** A machine that is cut off says nothing: a connect fails after so long. */
    private static final double CONNECT = 250;

    private final DrivenClock clock = new DrivenClock();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private int asked;
    private int served;
    private int sentToNotUp;
    private double worst;

    /** One after the other, as fast as it is warm. */
    private final class Server {
        private double born;
        private Contract.Standing standing = Contract.Standing.UP;
        private boolean silent;
        private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
        private double busyUntil;

        private Server(double born) {
            this.born = born;
        }

        private double capacity() {
            double age = clock.now() - born;
            return WARM * (born == 0 ? 1 : Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * age / COLD_TIME));
        }

        private double arrives() {
            double now = clock.now();
            arrivals.add(now);
            while (arrivals.peek() <= now - FALL_TIME) {
                arrivals.poll();
            }
            if (born > 0) {
                worst = Math.max(worst, arrivals.size() * 1000 / FALL_TIME / capacity());
            }
            busyUntil = Math.max(busyUntil, now) + 1000 / capacity();
            return busyUntil + AWAY;
        }
    }

    private final class Sidecar extends NoActions {
        private final Contract.Events module;
        private final double perSecond;
        private final Random dice;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private long ids;

        private Sidecar(int ordinal, int of, double perSecond) {
            Contract.RequestClass type = new Contract.RequestClass(
                    "read", 1, 0, AIM, DEADLINE, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
            this.module = new Decide(
                    new Contract.Settings(
                            List.of(type),
                            List.of(),
                            1,
                            new Contract.Limits(6, false, true, false, false, true, 2000, 0),
                            new Contract.Obligations(2000, FALL_MULTIPLE, FALL_TIME, COLD_SHARE, COLD_TIME, 10_000),
                            Contract.Reporting.NONE,
                            false,
                            of,
                            ordinal),
                    ordinal,
                    this);
            this.perSecond = perSecond;
            this.dice = new Random(ordinal);
        }

        private void start() {
            module.start(clock.now());
            list();
            next();
        }

        private void list() {
            module.servers(
                    clock.now(),
                    Contract.ListKind.FULL,
                    servers.entrySet().stream()
                            .filter(e -> e.getValue().standing != Contract.Standing.GONE)
                            .map(e -> new Contract.Server(
                                    e.getKey(), e.getValue().standing, 1, "z", 0, e.getValue().born))
                            .toList());
        }

        private void next() {
            clock.after(-Math.log(1 - dice.nextDouble()) * 1000 / perSecond, () -> {
                asked++;
                module.request(clock.now(), new Contract.Request(ids++, 0, -1, DEADLINE, false));
                next();
            });
        }

        @Override
        public void send(Contract.Request request, String server, double within) {
            double sentAt = clock.now();
            int attempt = attempts.merge(request.id, 1, Integer::sum) - 1;
            Server s = servers.get(server);
            sentToNotUp += s.standing == Contract.Standing.UP ? 0 : 1;
            if (s.silent) {
                clock.at(
                        sentAt + CONNECT,
                        () -> module.outcome(
                                clock.now(), request, attempt, Contract.Outcome.CONNECT_FAILED, CONNECT, false, null));
                return;
            }
            double at = s.arrives();
            boolean late = at > sentAt + DEADLINE;
            clock.at(Math.min(at, sentAt + DEADLINE), () -> {
                served += at <= sentAt + AIM ? 1 : 0;
                attempts.remove(request.id);
                module.outcome(
                        clock.now(),
                        request,
                        attempt,
                        late ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                        clock.now() - sentAt,
                        true,
                        null);
            });
        }

        @Override
        public void wake(double at) {
            clock.at(at, () -> module.wake(clock.now()));
        }
    }

    /** So many sidecars; the first has half of the traffic, a part of what the warm servers can do. */
    private void fleet(int count, double load) {
        clock.runTo(1);
        double all = SERVERS * WARM * load;
        for (int i = 0; i < count; i++) {
            sidecars.add(new Sidecar(i, count, count == 1 ? all : i == 0 ? all / 2 : all / 2 / (count - 1)));
        }
        sidecars.forEach(Sidecar::start);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void aNewServerThatAllNoticeAtOnceIsNotPushedOver(int count) {
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(0));
        }
        fleet(count, 0.7);
        clock.runTo(15_000);
        for (int i = 0; i < 3; i++) {
            servers.put("new" + i, new Server(clock.now()));
        }
        sidecars.forEach(Sidecar::list);
        clock.runTo(30_000);
        assertTrue(worst > 0.2, "they are used: " + worst);
        assertTrue(worst < FALL_MULTIPLE, "at most, of what it can do at that moment: " + worst);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50", "200"})
    void aFleetThatComesBackColdIsNotPushedOverBySidecarsThatKnowNothing(int count) {
        clock.runTo(1);
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(clock.now()));
        }
        // More than they can do while cold.
        fleet(count, 0.5);
        clock.runTo(8000);
        assertTrue(worst < FALL_MULTIPLE, "at most, of what it can do at that moment: " + worst);
        int before = served;
        clock.runTo(12_000);
        // Capacity from 8 s to 12 s is 0.41 to 0.56 of 600 a second.
        assertTrue(served - before > 400, "served in 4 s of some 1,160 that they can do: " + (served - before));
    }

    private void warm() {
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(0));
        }
    }

    private void tell() {
        sidecars.forEach(Sidecar::list);
    }

    /** The share served in time of what is asked until then. */
    private double until(double end) {
        double from = clock.now();
        int a = asked;
        int s = served;
        clock.runTo(end);
        double share = (double) (served - s) / (asked - a);
        return from < end ? share : 0;
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50"})
    void aZoneIsLostAndComesBackCold(int count) {
        warm();
        fleet(count, 0.45);
        clock.runTo(10_000);
        List<Server> zone = servers.values().stream().limit(7).toList();
        zone.forEach(s -> s.silent = true);
        double unknown = until(13_000);
        zone.forEach(s -> s.standing = Contract.Standing.GONE);
        tell();
        double known = until(18_000);
        zone.forEach(s -> {
            s.silent = false;
            s.born = clock.now();
            s.standing = Contract.Standing.UP;
        });
        tell();
        double back = until(26_000);
        assertTrue(unknown > 0.85, "while nobody is told, a third of the servers silent: " + unknown);
        assertTrue(known > 0.95, "once it is known: " + known);
        assertTrue(back > 0.95, "after they are back, cold: " + back);
        assertTrue(worst < FALL_MULTIPLE, "at most, of what a cold one can do: " + worst);
    }

    @ParameterizedTest
    @CsvSource({"3", "14", "50"})
    void sixInTenAreReplacedWithinSevenSeconds(int count) {
        warm();
        fleet(count, 0.35);
        clock.runTo(10_000);
        List<Server> old = servers.values().stream().limit(12).toList();
        old.forEach(s -> s.standing = Contract.Standing.DRAINING);
        tell();
        int before = sentToNotUp;
        double during = 0;
        for (int i = 0; i < 12; i++) {
            servers.put("n" + i, new Server(clock.now()));
            tell();
            double share = until(clock.now() + 580);
            during += share / 12;
        }
        old.forEach(s -> s.standing = Contract.Standing.GONE);
        tell();
        double after = until(25_000);
        assertTrue(sentToNotUp == before, "sent to those told as draining: " + (sentToNotUp - before));
        assertTrue(during > 0.85, "while they are replaced: " + during);
        assertTrue(after > 0.95, "and after: " + after);
        assertTrue(worst < FALL_MULTIPLE, "at most, of what a cold one can do: " + worst);
    }

    @Test
    void withNoWarmServerSeenALightSidecarIsServedToo() {
        clock.runTo(1);
        for (int i = 0; i < SERVERS; i++) {
            servers.put("s" + i, new Server(clock.now()));
        }
        sidecars.add(new Sidecar(0, 14, 5));
        sidecars.get(0).start();
        clock.runTo(10_000);
        assertTrue(served > 25, "of 50 requests: " + served);
    }
}
