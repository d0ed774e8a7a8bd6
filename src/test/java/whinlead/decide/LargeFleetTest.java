package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Troubles met in large fleets of light sidecars, singly and together; each guard has one test that needs it. */
class LargeFleetTest {
    private static final Contract.RequestClass HIGH = Rig.kind("high", 6, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass LOW = Rig.kind("low", 2, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass CELL = Rig.kind("cell", 2, Contract.Effect.KEYED, Contract.Group.CELL);

    private static Rig rig(
            Contract.Reporting reporting, int sidecars, List<Contract.Server> fleet, Contract.RequestClass... classes) {
        Contract.Settings s = Rig.settings(false, classes);
        Contract.Limits l = s.limits();
        Contract.Limits limits = new Contract.Limits(
                l.attempts(), false, true, reporting == Contract.Reporting.WITH_PROBES, false, true, 2000, 0.002);
        Rig rig = new Rig(
                new Contract.Settings(
                        s.classes(), s.tenants(), 1, limits, s.obligations(), reporting, false, sidecars, 0),
                5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, fleet);
        return rig;
    }

    private static Contract.Server server(String id, double size, int cell, double startedAt) {
        return new Contract.Server(id, Contract.Standing.UP, size, "z", cell, startedAt);
    }

    /** How one attempt ends: by the server and the class. */
    private interface Script {
        Contract.Outcome end(String server, int kind);
    }

    private interface Reports {
        Contract.Report of(String server);
    }

    /** One request each {@code gap}, its attempts ended at once; counts first attempts by server and class. */
    private static Map<String, Integer> drive(
            Rig rig, double from, double to, double gap, Script script, Reports reports) {
        Map<String, Integer> count = new HashMap<>();
        int i = 0;
        for (double now = from; now < to; now += gap, i++) {
            rig.runTo(now);
            int kind = i % rig.classCount();
            Contract.Request r = rig.ask(now, kind);
            if (rig.sends(r) == 0) {
                count.merge("refused", 1, Integer::sum);
                continue;
            }
            count.merge(rig.lastServer(r) + "/" + kind, 1, Integer::sum);
            for (int tries = 0; !rig.answers.containsKey(r.id) && tries < 6; tries++) {
                String s = rig.lastServer(r);
                Contract.Outcome o = script.end(s, kind);
                rig.module.outcome(
                        now,
                        r,
                        rig.sends(r) - 1,
                        o,
                        o == Contract.Outcome.SERVED ? 50 : 1,
                        o == Contract.Outcome.SERVED,
                        reports.of(s));
                if (o == Contract.Outcome.SERVED) {
                    break;
                }
            }
        }
        return count;
    }

    private static Contract.Report report(double util, double perSecond) {
        return new Contract.Report(Double.NaN, Double.NaN, util, Double.NaN, perSecond, 0);
    }

    private static int of(Map<String, Integer> count, String key) {
        return count.getOrDefault(key, 0);
    }

    @Test
    void anErrorShutsItsServerForItsClassOnly() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        Map<String, Integer> n = drive(
                rig,
                1,
                20000,
                10,
                (s, k) -> s.equals("s2") && k == 0 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED,
                s -> null);
        assertTrue(of(n, "s2/0") < of(n, "s1/0") / 3, "the class that fails there goes elsewhere: " + n);
        assertTrue(of(n, "s2/1") > of(n, "s1/1") / 2, "the class that it serves still comes: " + n);
    }

    @Test
    void oneClassFailingEverywhereLeavesTheOthersAlone() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH, LOW);
        drive(rig, 1, 20000, 10, (s, k) -> k == 0 ? Contract.Outcome.ERROR : Contract.Outcome.SERVED, s -> null);
        int low = 0;
        for (Contract.Request r : rig.requests.values()) {
            low += r.classIndex == 1 && rig.answers.containsKey(r.id) ? 1 : 0;
        }
        assertTrue(low < 20, "of 1000 of the class that is served, not served: " + low);
        Map<String, Integer> n = drive(rig, 60000, 80000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(of(n, "refused") < 50, "and the class is back within a minute after it is mended: " + n);
    }

    @Test
    void aKeyedRequestThatMayHaveRunFindsItsCellOutsideTheSubset() {
        List<Contract.Server> fleet = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fleet.add(server("s" + i, 1, i / 2, 0));
        }
        Rig rig = rig(Contract.Reporting.NONE, 400, fleet, CELL);
        int again = 0;
        for (int i = 0; i < 30; i++) {
            double now = 1 + i * 400;
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            int first =
                    rig.sends(r) == 0 ? -1 : Integer.parseInt(rig.lastServer(r).substring(1));
            if (first >= 0) {
                rig.end(now + 10, r, Contract.Outcome.RESET, 10);
                if (rig.sends(r) == 2) {
                    assertEquals(
                            first ^ 1, Integer.parseInt(rig.lastServer(r).substring(1)), "its cell's other server");
                    again++;
                    rig.end(now + 20, r, Contract.Outcome.SERVED, 10);
                }
            }
        }
        assertTrue(again >= 5, "repeats went to the cell: " + again);
    }

    @Test
    void whatLeavesTheListLeavesNothingBehind() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(6), HIGH);
        List<Contract.Request> out = new ArrayList<>();
        for (int round = 0; round < 500; round++) {
            double now = 10 + round * 100;
            rig.runTo(now);
            for (int i = 0; i < 4; i++) {
                Contract.Request r = rig.ask(now, 0);
                if (rig.sends(r) > 0) {
                    out.add(r);
                }
            }
            List<Contract.Server> next = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                next.add(Rig.up("r" + round + "-" + i));
            }
            next.add(next.get(0));
            if (round % 3 == 0) {
                next.set(1, new Contract.Server("r" + round + "-1", Contract.Standing.DRAINING, 1, "z", 0, 0));
            }
            rig.module.servers(now, Contract.ListKind.FULL, next);
            if (round % 3 == 1) {
                rig.module.servers(
                        now,
                        Contract.ListKind.CHANGES,
                        List.of(new Contract.Server("r" + round + "-2", Contract.Standing.GONE, 1, "z", 0, 0)));
            }
            while (out.size() > 10) {
                Contract.Request r = out.remove(0);
                rig.end(now, r, Contract.Outcome.SERVED, 30);
            }
        }
        for (Contract.Request r : out) {
            rig.end(60000, r, Contract.Outcome.SERVED, 30);
        }
        int kept = rig.module.list.nodes.size();
        assertTrue(kept <= 6, "3000 servers came and went, kept " + kept);
    }

    @Test
    void anEntryThatGoesBackInItsStartTimeStaysCold() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(4), HIGH);
        drive(rig, 1, 6000, 5, (s, k) -> Contract.Outcome.SERVED, s -> null);
        rig.module.servers(6000, Contract.ListKind.CHANGES, List.of(server("s1", 1, 0, 6000)));
        rig.module.servers(6010, Contract.ListKind.CHANGES, List.of(server("s1", 1, 0, 0)));
        Map<String, Integer> n = drive(rig, 6010, 8000, 5, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(of(n, "s1/0") < of(n, "s2/0") / 2, "an older list does not make it warm: " + n);
    }

    @Test
    void aReportedOverloadMovesTrafficAndLightSidecarsNeedIt() {
        Rig rig = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> n = drive(
                rig,
                1,
                30000,
                50,
                (s, k) -> Contract.Outcome.SERVED,
                s -> report(s.equals("s1") ? 1 : 0.5, s.equals("s1") ? 200 : 100));
        assertTrue(of(n, "s1/0") < of(n, "s2/0") * 0.8, "the busy one gets less: " + n);
        assertTrue(of(n, "refused") < 10, "and nothing is refused for it: " + n);
    }

    @Test
    void aServerThatDoesLessForItsBusyShareComesLater() {
        Rig rig = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(3), HIGH);
        Map<String, Integer> n = drive(
                rig, 1, 30000, 50, (s, k) -> Contract.Outcome.SERVED, s -> report(0.5, s.equals("s1") ? 20 : 100));
        assertTrue(of(n, "s1/0") < of(n, "s2/0") / 2, "a slow machine gets by its size: " + n);
        assertTrue(of(n, "s1/0") > 10, "and is not left out: " + n);
    }

    @Test
    void aDeclaredSizeOrdersTheWalkAndRefusesNothing() {
        Rig rig = rig(
                Contract.Reporting.NONE,
                400,
                List.of(server("s0", 1, 0, 0), server("s1", 4, 0, 0), server("s2", 4, 0, 0)),
                HIGH);
        Map<String, Integer> n = drive(rig, 1, 30000, 50, (s, k) -> Contract.Outcome.SERVED, s -> null);
        assertTrue(of(n, "s0/0") < of(n, "s1/0") * 0.6, "the small one gets less: " + n);
        assertEquals(0, of(n, "refused"));
    }

    @Test
    void absurdReportsCountAsNone() {
        double[] odd = {Double.NaN, -1, 9, Double.POSITIVE_INFINITY};
        Rig none = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(4), HIGH);
        Rig bad = rig(Contract.Reporting.WITH_ANSWERS, 400, Rig.fleet(4), HIGH);
        int[] n = new int[1];
        drive(none, 1, 9000, 30, (s, k) -> Contract.Outcome.SERVED, s -> null);
        drive(bad, 1, 9000, 30, (s, k) -> Contract.Outcome.SERVED, s -> {
            int i = n[0]++;
            return i % 5 == 4 ? report(1, i % 2 == 0 ? -3 : Double.POSITIVE_INFINITY) : report(odd[i % 4], 100);
        });
        assertEquals(none.actions, bad.actions);
    }

    @Test
    void probesOfALightSidecarAreSpreadBetweenItsRequests() {
        Rig rig = rig(Contract.Reporting.WITH_PROBES, 400, Rig.fleet(3), HIGH);
        int late = 0;
        int all = 0;
        for (double asked = 1000; asked < 40000; asked += 1000) {
            rig.runTo(asked);
            Contract.Request r = rig.ask(asked, 0);
            if (rig.sends(r) > 0) {
                rig.end(asked, r, Contract.Outcome.SERVED, 50);
            }
            int before = rig.probes.size();
            rig.runTo(asked + 400);
            int early = rig.probes.size() - before;
            rig.runTo(asked + 999);
            all += rig.probes.size() - before;
            late += rig.probes.size() - before - early;
        }
        assertTrue(all > 50, "probes are sent: " + all);
        assertTrue(late > all / 3, "the next request finds fresh ones: " + late + " of " + all);
    }

    @Test
    void aSilentServerInARollingDeployLosesNoRequestAndKeepsTheColdOnesSpared() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(6), HIGH, LOW);
        drive(rig, 1, 5000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        Map<String, Integer> n = new HashMap<>();
        for (int i = 0; i < 5; i++) {
            double now = 5000 + i * 2000;
            rig.module.servers(
                    now,
                    Contract.ListKind.CHANGES,
                    List.of(
                            new Contract.Server("s" + i, Contract.Standing.GONE, 1, "z", 0, 0),
                            server("n" + i, 1, 0, now)));
            drive(
                            rig,
                            now,
                            now + 2000,
                            10,
                            (s, k) -> s.equals("s5") ? Contract.Outcome.TIMED_OUT : Contract.Outcome.SERVED,
                            s -> null)
                    .forEach((k, v) -> n.merge(k, v, Integer::sum));
        }
        int served = 0;
        for (String k : n.keySet()) {
            served += k.startsWith("n") ? n.get(k) : 0;
        }
        assertTrue(served > 100, "the new ones take part: " + n);
        assertTrue(of(n, "s5/0") + of(n, "s5/1") < 150, "the silent one is shut out: " + n);
        for (Contract.Request r : rig.requests.values()) {
            assertTrue(rig.sends(r) > 0 || rig.answers.containsKey(r.id), "lost: " + r.id);
        }
    }

    @Test
    void withTheListOutOfReachDyingServersAreShutOutByTheirOutcomes() {
        Rig rig = rig(Contract.Reporting.NONE, 4, Rig.fleet(8), HIGH);
        drive(rig, 1, 5000, 10, (s, k) -> Contract.Outcome.SERVED, s -> null);
        rig.module.servers(5000, Contract.ListKind.FAILED, List.of());
        Map<String, Integer> n = drive(
                rig,
                5000,
                25000,
                10,
                (s, k) -> s.charAt(1) < '3' ? Contract.Outcome.CONNECT_FAILED : Contract.Outcome.SERVED,
                s -> null);
        int dead = of(n, "s0/0") + of(n, "s1/0") + of(n, "s2/0");
        assertTrue(dead < 300, "of 2000 first attempts to the dead three: " + dead);
        assertTrue(of(n, "refused") < 60, "the rest carries it: " + n);
        assertTrue(rig.actions.contains("log server list out of reach: deciding on the last one"));
    }
}
