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

/** The percentage, the draw, the worth order and the exceptions, seen through the servers chosen. */
class ControllerTest {
    private static final Contract.RequestClass HIGH = Rig.kind("high", 6, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass LOW = Rig.kind("low", 2, Contract.Effect.SAFE, Contract.Group.ALL);

    private static Rig rig(int servers, Contract.RequestClass... classes) {
        Rig rig = new Rig(Rig.settings(false, classes), 11);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(servers));
        return rig;
    }

    /** Sends one request each {@code gap} and ends it as the script says; returns the count of sends by server. */
    private static Map<String, Integer> drive(
            Rig rig, double from, double to, double gap, Function<String, Contract.Outcome> script) {
        Map<String, Integer> count = new HashMap<>();
        int i = 0;
        for (double now = from; now < to; now += gap, i++) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, i % rig.classCount());
            while (!rig.answers.containsKey(r.id) && rig.sends(r) > 0) {
                String s = rig.lastServer(r);
                Contract.Outcome o = script.apply(s);
                count.merge(s, 1, Integer::sum);
                int before = rig.sends(r);
                rig.end(now, r, o, o == Contract.Outcome.SERVED ? 50 : 1);
                if (o == Contract.Outcome.SERVED || rig.sends(r) == before) {
                    break;
                }
            }
        }
        return count;
    }

    @Test
    void aServerThatRefusesIsShedAndTriedAgainWhenItRecovers() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, s -> Contract.Outcome.SERVED);
        Map<String, Integer> bad =
                drive(rig, 3000, 9000, 5, s -> s.equals("s2") ? Contract.Outcome.FULL : Contract.Outcome.SERVED);
        assertTrue(bad.getOrDefault("s2", 0) < bad.get("s1") / 4, "shed: " + bad);
        assertTrue(bad.getOrDefault("s2", 0) > 0, "still tried now and then: " + bad);
        drive(rig, 9000, 19000, 5, s -> Contract.Outcome.SERVED);
        Map<String, Integer> good = drive(rig, 19000, 25000, 5, s -> Contract.Outcome.SERVED);
        assertTrue(good.get("s2") > good.get("s1") / 2, "back without a restart: " + good);
    }

    @Test
    void withAllServersRefusingTheBestWorthStillGetsThroughMost() {
        Rig rig = rig(4, HIGH, LOW);
        int[] n = new int[1];
        drive(rig, 1, 20000, 5, s -> n[0]++ % 3 == 0 ? Contract.Outcome.SERVED : Contract.Outcome.FULL);
        int[] sent = new int[2];
        for (Contract.Request r : rig.requests.values()) {
            if (r.id > 2000 && rig.sends(r) > 0) {
                sent[r.classIndex]++;
            }
        }
        assertTrue(sent[0] > 5 * Math.max(1, sent[1]) / 2, "high " + sent[0] + " low " + sent[1]);
        assertTrue(sent[0] > 20, "some worth always gets through: " + sent[0]);
    }

    @Test
    void aRefusalSaysWhenToComeBack() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 6000, 5, s -> Contract.Outcome.FULL);
        assertTrue(rig.answers.containsValue("refuse"));
        assertTrue(rig.lastRetryAfter > 0 && rig.lastRetryAfter <= 2000);
    }

    @Test
    void aServerWhoseAnswersStayOutIsPassedBeforeTheFirstTimeOut() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, s -> Contract.Outcome.SERVED);
        Map<String, Integer> count = new HashMap<>();
        for (double now = 3000; now < 3200; now += 5) {
            Contract.Request r = rig.ask(now, 0);
            String s = rig.lastServer(r);
            count.merge(s, 1, Integer::sum);
            if (!s.equals("s3")) {
                rig.end(now, r, Contract.Outcome.SERVED, 5);
            }
        }
        assertTrue(count.getOrDefault("s3", 0) <= 3, "crowding turns traffic away at once: " + count);
    }

    @Test
    void whatIsOutIsBoundedEvenWhenEveryServerGoesSilent() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 3000, 5, s -> Contract.Outcome.SERVED);
        int sent = 0;
        for (double now = 3000; now < 5000; now += 5) {
            rig.runTo(now);
            sent += rig.sends(rig.ask(now, 0)) > 0 ? 1 : 0;
        }
        assertTrue(sent < 60, "400 asked while nothing answers, sent " + sent);
    }

    @Test
    void aLightSidecarUsesFewServersAndAHeavyOneMore() {
        assertTrue(used(inAFleetOf(20, 400), 1, 4000, 40, 2).size() <= 3, "hundreds of others connect too");
        assertTrue(used(inAFleetOf(20, 400), 1, 20000, 4, 25).size() > 10, "a heavy one needs more");
        int few = used(inAFleetOf(20, 4), 1, 4000, 40, 2).size();
        assertTrue(few > 5 && few <= 8, "few sidecars leave room: " + few);
    }

    private static Rig inAFleetOf(int servers, int sidecars) {
        Contract.Settings s = Rig.settings(false, HIGH);
        Rig rig = new Rig(
                new Contract.Settings(
                        s.classes(), s.tenants(), 1, s.limits(), s.obligations(), s.reporting(), false, sidecars, 0),
                11);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(servers));
        return rig;
    }

    @Test
    void aJamDoesNotWidenTheSubset() {
        Rig rig = inAFleetOf(20, 400);
        Set<String> well = used(rig, 1, 6000, 100, 1);
        Set<String> jam = new HashSet<>();
        for (double now = 6000; now < 16000; now += 100) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                jam.add(rig.lastServer(r));
            }
        }
        assertTrue(well.containsAll(jam), "what stays out opens no further connections: " + jam);
    }

    @Test
    void manySidecarsDoNotAskTheListServiceAtOnce() {
        int early = 0;
        for (int seed = 0; seed < 100; seed++) {
            Contract.Settings s = Rig.settings(false, HIGH);
            Rig rig = new Rig(
                    new Contract.Settings(
                            s.classes(), s.tenants(), 1, s.limits(), s.obligations(), s.reporting(), true, 400, 0),
                    seed);
            rig.module.start(0);
            rig.module.servers(0, Contract.ListKind.STALE, Rig.fleet(4));
            rig.runTo(1000);
            early += rig.watches;
            rig.runTo(4200);
            assertEquals(1, rig.watches, "each asks in time, and once");
        }
        assertTrue(early < 50, "spread over seconds: " + early + " of 100 in the first");
    }

    /** The servers used when each request stays out for {@code hold} arrivals. */
    private static Set<String> used(Rig rig, double from, double to, double gap, int hold) {
        Set<String> used = new HashSet<>();
        List<Contract.Request> out = new ArrayList<>();
        List<Double> due = new ArrayList<>();
        for (double now = from; now < to; now += gap) {
            rig.runTo(now);
            while (!due.isEmpty() && due.get(0) <= now) {
                due.remove(0);
                rig.end(now, out.remove(0), Contract.Outcome.SERVED, gap * hold);
            }
            Contract.Request r = rig.ask(now, 0);
            if (rig.sends(r) > 0) {
                used.add(rig.lastServer(r));
                out.add(r);
                due.add(now + gap * hold);
            }
        }
        return used;
    }

    @Test
    void trafficOverATenantsShareIsDroppedFirst() {
        Contract.Settings one = Rig.settings(false, HIGH);
        Contract.Settings s = new Contract.Settings(
                one.classes(),
                List.of(new Contract.Tenant("t0", 0.5, 100), new Contract.Tenant("t1", 0.5, 100)),
                0.2,
                one.limits(),
                one.obligations(),
                one.reporting(),
                true,
                4,
                0);
        Rig rig = new Rig(s, 3);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        int[] asked = new int[2];
        int[] sent = new int[2];
        int n = 0;
        for (double now = 1; now < 20000; now += 5, n++) {
            rig.runTo(now);
            int tenant = n % 5 == 0 ? 1 : 0;
            Contract.Request r = rig.ask(now, 0, tenant, 2000);
            asked[tenant]++;
            if (rig.sends(r) > 0) {
                sent[tenant]++;
                rig.end(now, r, n % 3 == 0 ? Contract.Outcome.SERVED : Contract.Outcome.RESET, 50);
            }
            if (!rig.answers.containsKey(r.id) && rig.sends(r) > 1) {
                rig.end(now, r, Contract.Outcome.SERVED, 50);
            }
        }
        double within = (double) sent[1] / asked[1];
        double over = (double) sent[0] / asked[0];
        assertTrue(within > over * 1.2, "the tenant within its share " + within + ", the one over it " + over);
    }

    @Test
    void aBrokenSubscriptionIsAskedAgainAtSpreadOutTimes() {
        Set<Double> first = new HashSet<>();
        for (int seed = 0; seed < 8; seed++) {
            Rig rig = new Rig(Rig.settings(false, HIGH), seed);
            rig.module.start(0);
            rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
            rig.runTo(150);
            assertEquals(1, rig.watches);
            rig.module.servers(200, Contract.ListKind.FAILED, List.of());
            double t = 200;
            while (rig.watches < 2 && t < 5000) {
                t += 1;
                rig.runTo(t);
            }
            assertEquals(2, rig.watches);
            first.add(t);
            assertTrue(rig.sends(rig.ask(t, 0)) > 0, "the old list still serves");
        }
        assertTrue(first.size() > 4, "not all at once: " + first);
    }

    @Test
    void whenMostOfTheFleetIsColdItsBudgetsDoNotShrinkWithTheTrafficTheyAllow() {
        Rig rig = rig(4, HIGH);
        drive(rig, 1, 6000, 5, s -> Contract.Outcome.SERVED);
        List<Contract.Server> cold = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            cold.add(new Contract.Server("s" + i, Contract.Standing.UP, 1, "z", 0, 6000));
        }
        rig.module.servers(6000, Contract.ListKind.CHANGES, cold);
        int early = total(drive(rig, 6000, 9000, 5, s -> Contract.Outcome.SERVED));
        int later = total(drive(rig, 9000, 12000, 5, s -> Contract.Outcome.SERVED));
        assertTrue(early > 60, "a tenth of 600 at least, at a fifth of the capacity: " + early);
        assertTrue(early < 450, "and not all, though these answer all at once: " + early);
        assertTrue(later > early, "more as they warm: " + later);
    }

    private static int total(Map<String, Integer> count) {
        int sum = 0;
        for (int n : count.values()) {
            sum += n;
        }
        return sum;
    }

    @Test
    void aLightSidecarRefusesWhenAllServersTogetherFail() {
        Contract.RequestClass unsafe = Rig.kind("u", 2, Contract.Effect.UNSAFE, Contract.Group.ALL);
        Rig rig = rig(20, unsafe);
        drive(rig, 1, 5000, 60, s -> Contract.Outcome.SERVED);
        drive(rig, 5000, 15000, 60, s -> Contract.Outcome.RESET);
        int refused = 0;
        for (Contract.Request r : rig.requests.values()) {
            refused += r.id > 160 && "refuse".equals(rig.answers.get(r.id)) ? 1 : 0;
        }
        assertTrue(refused > 20, "of some 90 requests after the first seconds of trouble: " + refused);
    }

    @Test
    void oneServerLeftStillServesAndAClockThatJumpsBreaksNothing() {
        Rig rig = rig(6, HIGH);
        rig.module.servers(5, Contract.ListKind.FULL, List.of(Rig.up("s3")));
        Map<String, Integer> count = drive(rig, 10, 2000, 20, s -> Contract.Outcome.SERVED);
        assertEquals(Set.of("s3"), count.keySet());
        rig.runTo(3_600_000);
        count = drive(rig, 3_600_000, 3_602_000, 20, s -> Contract.Outcome.SERVED);
        assertTrue(count.get("s3") > 80, "as before the jump: " + count);
    }
}
