package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The drop share, the draw, the order of worth and the exceptions, observed through the servers chosen. */
class ControllerTest {
    private static final Contract.RequestClass HIGH =
            Rig.requestClass("high", 6, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass LOW =
            Rig.requestClass("low", 2, Contract.Effect.SAFE, Contract.Group.ALL);

    private static Rig rig(int servers, Contract.RequestClass... classes) {
        Rig rig = new Rig(Rig.settings(false, classes), 11);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(servers));
        return rig;
    }

    /**
     * Sends one request every {@code gapMs} and ends it as {@code outcomeByServer} says; returns the count of attempts
     * by server.
     */
    private static Map<String, Integer> drive(
            Rig rig, double fromMs, double toMs, double gapMs, Function<String, Contract.Outcome> outcomeByServer) {
        Map<String, Integer> count = new HashMap<>();
        int i = 0;
        for (double nowMs = fromMs; nowMs < toMs; nowMs += gapMs, i++) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, i % rig.classCount());
            while (!rig.answers.containsKey(request.id) && rig.sendCount(request) > 0) {
                String server = rig.lastServer(request);
                Contract.Outcome outcome = outcomeByServer.apply(server);
                count.merge(server, 1, Integer::sum);
                int before = rig.sendCount(request);
                rig.endAttempt(nowMs, request, outcome, outcome == Contract.Outcome.SERVED ? 50 : 1);
                if (outcome == Contract.Outcome.SERVED || rig.sendCount(request) == before) {
                    break;
                }
            }
        }
        return count;
    }

    @Test
    void refusingServerIsAvoidedUntilItRecovers() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, s -> Contract.Outcome.SERVED);
        Map<String, Integer> bad =
                drive(rig, 3000, 9000, 5, s -> s.equals("s2") ? Contract.Outcome.FULL : Contract.Outcome.SERVED);
        assertTrue(bad.getOrDefault("s2", 0) < bad.get("s1") / 4, "refusing server s2 gets less: " + bad);
        assertTrue(bad.getOrDefault("s2", 0) > 0, "refusing server s2 is still tried: " + bad);
        drive(rig, 9000, 19000, 5, s -> Contract.Outcome.SERVED);
        Map<String, Integer> good = drive(rig, 19000, 25000, 5, s -> Contract.Outcome.SERVED);
        assertTrue(good.get("s2") > good.get("s1") / 2, "recovered server s2 gets traffic again: " + good);
    }

    @Test
    void highestWorthPassesMostWhenAllServersRefuse() {
        Rig rig = rig(4, HIGH, LOW);
        int[] n = new int[1];
        drive(rig, 1, 20000, 5, s -> n[0]++ % 3 == 0 ? Contract.Outcome.SERVED : Contract.Outcome.FULL);
        int[] sent = new int[2];
        for (Contract.Request request : rig.requests.values()) {
            if (request.id > 2000 && rig.sendCount(request) > 0) {
                sent[request.classIndex]++;
            }
        }
        assertTrue(sent[0] > 5 * Math.max(1, sent[1]) / 2, "high " + sent[0] + " low " + sent[1]);
        assertTrue(sent[0] > 20, "requests of the highest worth sent: " + sent[0]);
    }

    @Test
    void refusalCarriesARetryAfter() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 6000, 5, s -> Contract.Outcome.FULL);
        assertTrue(rig.answers.containsValue("refuse"));
        assertTrue(rig.lastRetryAfter > 0 && rig.lastRetryAfter <= 2000);
    }

    @Test
    void unresponsiveServerIsAvoidedBeforeTheFirstTimeout() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, server -> Contract.Outcome.SERVED);
        Map<String, Integer> count = new HashMap<>();
        for (double nowMs = 3000; nowMs < 3200; nowMs += 5) {
            Contract.Request request = rig.sendRequest(nowMs, 0);
            String server = rig.lastServer(request);
            count.merge(server, 1, Integer::sum);
            if (!server.equals("s3")) {
                rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, 5);
            }
        }
        assertTrue(count.getOrDefault("s3", 0) <= 3, "few attempts go to the unresponsive server s3: " + count);
    }

    @Test
    void outstandingAttemptsAreBoundedWhenAllServersAreSilent() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, s -> Contract.Outcome.SERVED);
        int sent = 0;
        for (double nowMs = 3000; nowMs < 5000; nowMs += 5) {
            rig.runTo(nowMs);
            sent += rig.sendCount(rig.sendRequest(nowMs, 0)) > 0 ? 1 : 0;
        }
        assertTrue(sent < 60, "sent of 400 requests while nothing answers: " + sent);
    }

    @Test
    void subsetGrowsWithTraffic() {
        assertTrue(
                usedServers(rigInFleet(20, 400), 1, 4000, 40, 2).size() <= 3,
                "light sidecar in a fleet of 400 uses 3 servers");
        assertTrue(
                usedServers(rigInFleet(20, 400), 1, 20000, 4, 25).size() > 10,
                "heavy sidecar uses more than 10 servers");
        int few = usedServers(rigInFleet(20, 4), 1, 4000, 40, 2).size();
        assertTrue(few > 5 && few <= 8, "servers used in a fleet of 4 sidecars: " + few);
    }

    private static Rig rigInFleet(int servers, int sidecars) {
        Contract.Settings settings = Rig.settings(false, HIGH);
        Rig rig = new Rig(
                new Contract.Settings(
                        settings.classes(),
                        settings.tenants(),
                        1,
                        settings.limits(),
                        settings.obligations(),
                        settings.reporting(),
                        false,
                        sidecars,
                        0),
                11);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(servers));
        return rig;
    }

    @Test
    void unansweredRequestsDoNotWidenTheSubset() {
        Rig rig = rigInFleet(20, 400);
        Set<String> usedWhenHealthy = usedServers(rig, 1, 6000, 100, 1);
        Set<String> usedWhenSilent = new HashSet<>();
        for (double nowMs = 6000; nowMs < 16000; nowMs += 100) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            if (rig.sendCount(request) > 0) {
                usedWhenSilent.add(rig.lastServer(request));
            }
        }
        assertTrue(
                usedWhenHealthy.containsAll(usedWhenSilent),
                "unanswered requests use no further servers: " + usedWhenSilent);
    }

    @Test
    void listRequestsOfManySidecarsAreSpread() {
        int early = 0;
        for (int seed = 0; seed < 100; seed++) {
            Contract.Settings settings = Rig.settings(false, HIGH);
            Rig rig = new Rig(
                    new Contract.Settings(
                            settings.classes(),
                            settings.tenants(),
                            1,
                            settings.limits(),
                            settings.obligations(),
                            settings.reporting(),
                            true,
                            400,
                            0),
                    seed);
            rig.module.start(0);
            rig.module.servers(0, Contract.ListKind.STALE, Rig.fleet(4));
            rig.runTo(1000);
            early += rig.watches;
            rig.runTo(4200);
            assertEquals(1, rig.watches, "list requests of one sidecar in 4.2 s");
        }
        assertTrue(early < 50, "list requests in the first second, of 100 sidecars: " + early);
    }

    /** Returns the servers used when each request stays in flight for {@code arrivalsInFlight} arrivals. */
    private static Set<String> usedServers(Rig rig, double fromMs, double toMs, double gapMs, int arrivalsInFlight) {
        Set<String> used = new HashSet<>();
        List<Contract.Request> inFlight = new ArrayList<>();
        List<Double> dueMs = new ArrayList<>();
        for (double nowMs = fromMs; nowMs < toMs; nowMs += gapMs) {
            rig.runTo(nowMs);
            while (!dueMs.isEmpty() && dueMs.get(0) <= nowMs) {
                dueMs.remove(0);
                rig.endAttempt(nowMs, inFlight.remove(0), Contract.Outcome.SERVED, gapMs * arrivalsInFlight);
            }
            Contract.Request request = rig.sendRequest(nowMs, 0);
            if (rig.sendCount(request) > 0) {
                used.add(rig.lastServer(request));
                inFlight.add(request);
                dueMs.add(nowMs + gapMs * arrivalsInFlight);
            }
        }
        return used;
    }

    @Test
    void trafficOverTheTenantShareIsDroppedFirst() {
        Contract.Settings base = Rig.settings(false, HIGH);
        Contract.Settings settings = new Contract.Settings(
                base.classes(),
                List.of(new Contract.Tenant("t0", 0.5, 100), new Contract.Tenant("t1", 0.5, 100)),
                0.2,
                base.limits(),
                base.obligations(),
                base.reporting(),
                true,
                4,
                0);
        Rig rig = new Rig(settings, 3);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        int[] requests = new int[2];
        int[] sent = new int[2];
        int n = 0;
        for (double nowMs = 1; nowMs < 20000; nowMs += 5, n++) {
            rig.runTo(nowMs);
            int tenant = n % 5 == 0 ? 1 : 0;
            Contract.Request request = rig.sendRequest(nowMs, 0, tenant, 2000);
            requests[tenant]++;
            if (rig.sendCount(request) > 0) {
                sent[tenant]++;
                rig.endAttempt(nowMs, request, n % 3 == 0 ? Contract.Outcome.SERVED : Contract.Outcome.RESET, 50);
            }
            if (!rig.answers.containsKey(request.id) && rig.sendCount(request) > 1) {
                rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, 50);
            }
        }
        double servedWithinShare = (double) sent[1] / requests[1];
        double servedOverShare = (double) sent[0] / requests[0];
        assertTrue(
                servedWithinShare > servedOverShare * 1.2,
                "share sent of the tenant within its share " + servedWithinShare + ", of the tenant over it "
                        + servedOverShare);
    }

    @Test
    void brokenSubscriptionIsRetriedAtSpreadOutTimes() {
        Set<Double> retriedAtMs = new HashSet<>();
        for (int seed = 0; seed < 8; seed++) {
            Rig rig = new Rig(Rig.settings(false, HIGH), seed);
            rig.module.start(0);
            rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
            rig.runTo(150);
            assertEquals(1, rig.watches);
            rig.module.servers(200, Contract.ListKind.FAILED, List.of());
            double nowMs = 200;
            while (rig.watches < 2 && nowMs < 5000) {
                nowMs += 1;
                rig.runTo(nowMs);
            }
            assertEquals(2, rig.watches);
            retriedAtMs.add(nowMs);
            assertTrue(rig.sendCount(rig.sendRequest(nowMs, 0)) > 0, "requests are sent by the old list");
        }
        assertTrue(retriedAtMs.size() > 4, "retry times differ between sidecars: " + retriedAtMs);
    }

    @Test
    void coldBudgetsDoNotShrinkWhenAllServersAreCold() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 6000, 5, s -> Contract.Outcome.SERVED);
        List<Contract.Server> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z", 0, 6000));
        }
        rig.module.servers(6000, Contract.ListKind.CHANGES, cold);
        int early = total(drive(rig, 6000, 9000, 5, s -> Contract.Outcome.SERVED));
        int later = total(drive(rig, 9000, 12000, 5, s -> Contract.Outcome.SERVED));
        assertTrue(early > 60, "sent of 600 requests at a fifth of the capacity, expected over 60: " + early);
        assertTrue(
                early < 450, "sent of 600 requests to cold servers that answer at once, expected under 450: " + early);
        assertTrue(later > early, "sent as the servers get warm, expected over the first 3 s: " + later);
    }

    private static int total(Map<String, Integer> count) {
        int sum = 0;
        for (int n : count.values()) {
            sum += n;
        }
        return sum;
    }

    @Test
    void lightSidecarRefusesWhenAllServersFail() {
        Contract.RequestClass unsafe = Rig.requestClass("u", 2, Contract.Effect.UNSAFE, Contract.Group.ALL);
        Rig rig = rig(20, unsafe);
        drive(rig, 1, 5000, 60, s -> Contract.Outcome.SERVED);
        drive(rig, 5000, 15000, 60, s -> Contract.Outcome.RESET);
        int refused = 0;
        for (Contract.Request request : rig.requests.values()) {
            refused += request.id > 160 && "refuse".equals(rig.answers.get(request.id)) ? 1 : 0;
        }
        assertTrue(refused > 20, "refused of about 90 requests after the first seconds of failures: " + refused);
    }

    @Test
    void lastServerStillServesAfterAClockJump() {
        Rig rig = rig(6, HIGH);
        rig.module.servers(5, Contract.ListKind.FULL, List.of(Rig.upServer("s3")));
        Map<String, Integer> count = drive(rig, 10, 2000, 20, s -> Contract.Outcome.SERVED);
        assertEquals(Set.of("s3"), count.keySet());
        rig.runTo(3_600_000);
        count = drive(rig, 3_600_000, 3_602_000, 20, s -> Contract.Outcome.SERVED);
        assertTrue(count.get("s3") > 80, "attempts by server after the clock jump: " + count);
    }
}
