package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/**
 * Faults seen in large fleets of light sidecars, singly and combined. Each guard has one test that fails without it.
 */
class LargeFleetTest {
    private static final Contract.RequestClass HIGH =
            Rig.requestClass("high", 6, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass LOW =
            Rig.requestClass("low", 2, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass CELL =
            Rig.requestClass("cell", 2, Contract.Effect.KEYED, Contract.Group.CELL);

    private static Rig rig(
            Contract.Reporting reporting, int sidecars, List<Contract.Server> fleet, Contract.RequestClass... classes) {
        Contract.Settings settings = Rig.settings(false, classes);
        Contract.Limits l = settings.limits();
        Contract.Limits limits = new Contract.Limits(
                l.attempts(), false, true, reporting == Contract.Reporting.WITH_PROBES, false, true, 2000, 0.002);
        Rig rig = new Rig(
                new Contract.Settings(
                        settings.classes(),
                        settings.tenants(),
                        1,
                        limits,
                        settings.obligations(),
                        reporting,
                        false,
                        sidecars,
                        0),
                5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, fleet);
        return rig;
    }

    private static Contract.Server server(String id, double size, int cell, double startedAt) {
        return new Contract.Server(id, Contract.ServerState.UP, size, "z", cell, startedAt);
    }

    /** How an attempt ends, by server and class. */
    private interface Script {
        Contract.Outcome outcome(String server, int classIndex);
    }

    private interface Reports {
        Contract.Report reportOf(String server);
    }

    /**
     * Sends one request every {@code gapMs} and ends its attempts at once; counts first attempts by server and class.
     */
    private static Map<String, Integer> drive(
            Rig rig, double fromMs, double toMs, double gapMs, Script script, Reports reports) {
        Map<String, Integer> count = new HashMap<>();
        int i = 0;
        for (double nowMs = fromMs; nowMs < toMs; nowMs += gapMs, i++) {
            rig.runTo(nowMs);
            int classIndex = i % rig.classCount();
            Contract.Request request = rig.sendRequest(nowMs, classIndex);
            if (rig.sendCount(request) == 0) {
                count.merge("refused", 1, Integer::sum);
                continue;
            }
            count.merge(rig.lastServer(request) + "/" + classIndex, 1, Integer::sum);
            for (int tries = 0; !rig.answers.containsKey(request.id) && tries < 6; tries++) {
                String server = rig.lastServer(request);
                Contract.Outcome outcome = script.outcome(server, classIndex);
                rig.module.outcome(
                        nowMs,
                        request,
                        rig.sendCount(request) - 1,
                        outcome,
                        outcome == Contract.Outcome.SERVED ? 50 : 1,
                        outcome == Contract.Outcome.SERVED,
                        reports.reportOf(server));
                if (outcome == Contract.Outcome.SERVED) {
                    break;
                }
            }
        }
        return count;
    }

    private static Contract.Report report(double util, double perSecond) {
        return new Contract.Report(Double.NaN, Double.NaN, util, Double.NaN, perSecond, 0);
    }

    private static int count(Map<String, Integer> counts, String name) {
        return counts.getOrDefault(name, 0);
    }

    @Test
    void errorsAvoidTheServerForTheirClassOnly() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        Map<String, Integer> counts = drive(
                rig,
                1,
                20000,
                10,
                (s, k) -> s.equals("s2") && k == 0 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED,
                s -> null);
        assertTrue(
                count(counts, "s2/0") < count(counts, "s1/0") / 3,
                "s2 gets little of the class that fails there: " + counts);
        assertTrue(
                count(counts, "s2/1") > count(counts, "s1/1") / 2, "s2 still gets the class that it serves: " + counts);
    }

    @Test
    void classFailingEverywhereDoesNotAffectOthers() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        drive(rig, 1, 20000, 10, (s, k) -> k == 0 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED, s -> null);
        int low = 0;
        for (Contract.Request request : rig.requests.values()) {
            low += request.classIndex == 1 && rig.answers.containsKey(request.id) ? 1 : 0;
        }
        assertTrue(low < 20, "unserved requests of the other class, of 1000: " + low);
        Map<String, Integer> counts = drive(rig, 60000, 80000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(count(counts, "refused") < 50, "refusals one minute after the class has recovered: " + counts);
    }

    @Test
    void keyedRetryFindsItsCellOutsideTheSubset() {
        List<Contract.Server> fleet = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fleet.add(server("s" + i, 1, i / 2, 0));
        }
        Rig rig = rig(Contract.Reporting.NONE, 400, fleet, CELL);
        int retriesInCell = 0;
        for (int i = 0; i < 30; i++) {
            double nowMs = 1 + i * 400;
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            int first = rig.sendCount(request) == 0
                    ? -1
                    : Integer.parseInt(rig.lastServer(request).substring(1));
            if (first >= 0) {
                rig.endAttempt(nowMs + 10, request, Contract.Outcome.RESET, 10);
                if (rig.sendCount(request) == 2) {
                    assertEquals(
                            first ^ 1,
                            Integer.parseInt(rig.lastServer(request).substring(1)),
                            "retry goes to the other server of the cell");
                    retriesInCell++;
                    rig.endAttempt(nowMs + 20, request, Contract.Outcome.SERVED, 10);
                }
            }
        }
        assertTrue(retriesInCell >= 5, "retries within the cell: " + retriesInCell);
    }

    @Test
    void unlistedServersAreRemoved() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(6), HIGH);
        List<Contract.Request> inFlight = new ArrayList<>();
        for (int round = 0; round < 500; round++) {
            double nowMs = 10 + round * 100;
            rig.runTo(nowMs);
            for (int i = 0; i < 4; i++) {
                Contract.Request request = rig.sendRequest(nowMs, 0);
                if (rig.sendCount(request) > 0) {
                    inFlight.add(request);
                }
            }
            List<Contract.Server> fleet = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                fleet.add(Rig.upServer("r" + round + "-" + i));
            }
            fleet.add(fleet.get(0));
            if (round % 3 == 0) {
                fleet.set(1, new Contract.Server("r" + round + "-1", Contract.ServerState.DRAINING, 1, "z", 0, 0));
            }
            rig.module.servers(nowMs, Contract.ListKind.FULL, fleet);
            if (round % 3 == 1) {
                rig.module.servers(
                        nowMs,
                        Contract.ListKind.CHANGES,
                        List.of(new Contract.Server("r" + round + "-2", Contract.ServerState.GONE, 1, "z", 0, 0)));
            }
            while (inFlight.size() > 10) {
                Contract.Request request = inFlight.remove(0);
                rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, 30);
            }
        }
        for (Contract.Request request : inFlight) {
            rig.endAttempt(60000, request, Contract.Outcome.SERVED, 30);
        }
        int remaining = rig.module.serverList.nodes.size();
        assertTrue(remaining <= 6, "servers still stored after 3000 were listed and removed: " + remaining);
    }

    @Test
    void entryWithAnOlderStartTimeStaysCold() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH);
        drive(rig, 1, 6000, 5, (s, k) -> Contract.Outcome.SERVED, s -> null);
        rig.module.servers(6000, Contract.ListKind.CHANGES, List.of(server("s1", 1, 0, 6000)));
        rig.module.servers(6010, Contract.ListKind.CHANGES, List.of(server("s1", 1, 0, 0)));
        Map<String, Integer> counts = drive(rig, 6010, 8000, 5, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(
                count(counts, "s1/0") < count(counts, "s2/0") / 2,
                "s1 counts as cold despite the older list: " + counts);
    }

    @Test
    void reportedOverloadMovesTrafficOfLightSidecars() {
        Rig rig = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> counts = drive(
                rig,
                1,
                30000,
                50,
                (s, k) -> Contract.Outcome.SERVED,
                s -> report(s.equals("s1") ? 1 : 0.5, s.equals("s1") ? 200 : 100));
        assertTrue(count(counts, "s1/0") < count(counts, "s2/0") * 0.8, "busy server s1 gets less: " + counts);
        assertTrue(count(counts, "refused") < 10, "nothing is refused because of the busy server: " + counts);
    }

    @Test
    void serverWithLessCapacityByItsReportsGetsLess() {
        Rig rig = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> counts = drive(
                rig, 1, 30000, 50, (s, k) -> Contract.Outcome.SERVED, s -> report(0.5, s.equals("s1") ? 20 : 100));
        assertTrue(count(counts, "s1/0") < count(counts, "s2/0") / 2, "slow server s1 gets less: " + counts);
        assertTrue(count(counts, "s1/0") > 10, "slow server s1 still gets some: " + counts);
    }

    @Test
    void declaredSizeOrdersServersAndRefusesNothing() {
        Rig rig = rig(
                Contract.Reporting.NONE,
                400,
                List.of(server("s0", 1, 0, 0), server("s1", 4, 0, 0), server("s2", 4, 0, 0)),
                HIGH);
        Map<String, Integer> counts = drive(rig, 1, 30000, 50, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(count(counts, "s0/0") < count(counts, "s1/0") * 0.6, "small server s0 gets less: " + counts);
        assertEquals(0, count(counts, "refused"));
    }

    @Test
    void invalidReportsAreIgnored() {
        double[] invalidUtils = {Double.NaN, -1, 9, Double.POSITIVE_INFINITY};
        Rig withoutReports = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(4), HIGH);
        Rig withInvalidReports = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(4), HIGH);
        int[] reportCount = new int[1];
        drive(withoutReports, 1, 9000, 30, (s, k) -> Contract.Outcome.SERVED, s -> null);
        drive(withInvalidReports, 1, 9000, 30, (s, k) -> Contract.Outcome.SERVED, s -> {
            int i = reportCount[0]++;
            return i % 5 == 4
                    ? report(1, i % 2 == 0 ? -3 : Double.POSITIVE_INFINITY)
                    : report(invalidUtils[i % 4], 100);
        });
        assertEquals(withoutReports.actions, withInvalidReports.actions);
    }

    @Test
    void probesAreSpreadBetweenRequests() {
        Rig rig = rig(Contract.Reporting.WITH_PROBES, 400, Rig.fleet(3), HIGH);
        int late = 0;
        int all = 0;
        for (double requestAtMs = 1000; requestAtMs < 40000; requestAtMs += 1000) {
            rig.runTo(requestAtMs);
            Contract.Request request = rig.sendRequest(requestAtMs, 0);
            if (rig.sendCount(request) > 0) {
                rig.endAttempt(requestAtMs, request, Contract.Outcome.SERVED, 50);
            }
            int before = rig.probes.size();
            rig.runTo(requestAtMs + 400);
            int early = rig.probes.size() - before;
            rig.runTo(requestAtMs + 999);
            all += rig.probes.size() - before;
            late += rig.probes.size() - before - early;
        }
        assertTrue(all > 50, "probes are sent: " + all);
        assertTrue(late > all / 3, "probes late in the interval between requests: " + late + " of " + all);
    }

    @Test
    void silentServerDuringARollingDeployLosesNoRequest() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(6), HIGH, LOW);
        drive(rig, 1, 5000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            double nowMs = 5000 + i * 2000;
            rig.module.servers(
                    nowMs,
                    Contract.ListKind.CHANGES,
                    List.of(
                            new Contract.Server("s" + i, Contract.ServerState.GONE, 1, "z", 0, 0),
                            server("n" + i, 1, 0, nowMs)));
            drive(
                            rig,
                            nowMs,
                            nowMs + 2000,
                            10,
                            (s, k) -> s.equals("s5") ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                            s -> null)
                    .forEach((k, v) -> counts.merge(k, v, Integer::sum));
        }
        int served = 0;
        for (String k : counts.keySet()) {
            served += k.startsWith("n") ? counts.get(k) : 0;
        }
        assertTrue(served > 100, "new servers get traffic: " + counts);
        assertTrue(count(counts, "s5/0") + count(counts, "s5/1") < 150, "silent server s5 gets little: " + counts);
        for (Contract.Request request : rig.requests.values()) {
            assertTrue(
                    rig.sendCount(request) > 0 || rig.answers.containsKey(request.id),
                    "neither sent nor answered: " + request.id);
        }
    }

    @Test
    void deadServersAreAvoidedWithoutTheServerList() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(8), HIGH);
        drive(rig, 1, 5000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        rig.module.servers(5000, Contract.ListKind.FAILED, List.of());
        Map<String, Integer> counts = drive(
                rig,
                5000,
                25000,
                10,
                (s, k) -> s.charAt(1) < '3' ? Contract.Outcome.CONNECT_FAILED : Contract.Outcome.SERVED,
                s -> null);
        int dead = count(counts, "s0/0") + count(counts, "s1/0") + count(counts, "s2/0");
        assertTrue(dead < 300, "first attempts at the three dead servers, of 2000: " + dead);
        assertTrue(count(counts, "refused") < 60, "refusals while the other servers have capacity: " + counts);
        assertTrue(rig.actions.contains("log server list out of reach: deciding on the last one"));
    }
}
