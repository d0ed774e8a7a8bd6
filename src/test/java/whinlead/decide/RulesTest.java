package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The four rules, each by a script that fails when its guard is taken out. */
class RulesTest {
    private static final Contract.RequestClass SAFE = Rig.kind("a", 2, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass UNSAFE = Rig.kind("b", 2, Contract.Effect.UNSAFE, Contract.Group.ALL);
    private static final Contract.RequestClass KEYED = Rig.kind("c", 2, Contract.Effect.KEYED, Contract.Group.ZONE);

    private static Rig rig(boolean copies, Contract.RequestClass k, List<Contract.Server> fleet) {
        Rig rig = new Rig(Rig.settings(copies, k), 7);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, fleet);
        return rig;
    }

    @Test
    void anEmptyFleetRefusesAtOnce() {
        Rig rig = rig(false, SAFE, List.of());
        Contract.Request r = rig.ask(1, 0);
        assertEquals("refuse", rig.answers.get(r.id));
    }

    @Test
    void aTimeOutAtTheDeadlineIsFailed() {
        Rig rig = rig(false, SAFE, Rig.fleet(6));
        Contract.Request r = rig.ask(1, 0, -1, 300);
        rig.end(301, r, Contract.Outcome.TIMED_OUT, 300);
        assertEquals("fail", rig.answers.get(r.id));
        assertEquals(1, rig.sends(r));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        for (Contract.Outcome o : Contract.Outcome.values()) {
            if (o.neverRan || o == Contract.Outcome.SERVED) {
                continue;
            }
            Rig rig = rig(false, UNSAFE, Rig.fleet(6));
            Contract.Request r = rig.ask(1, 0);
            rig.end(20, r, o, 19);
            assertEquals(1, rig.sends(r), o.toString());
            assertEquals("fail", rig.answers.get(r.id), o.toString());
        }
    }

    @Test
    void anUnsafeRequestThatNeverRanGoesToAnotherServer() {
        Rig rig = rig(false, UNSAFE, Rig.fleet(6));
        Contract.Request r = rig.ask(1, 0);
        String first = rig.lastServer(r);
        rig.end(20, r, Contract.Outcome.FULL, 19);
        assertEquals(2, rig.sends(r));
        assertNotEquals(first, rig.lastServer(r));
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsZone() {
        for (int seed = 0; seed < 40; seed++) {
            Rig rig = new Rig(Rig.settings(false, KEYED), seed);
            rig.module.start(0);
            List<Contract.Server> fleet = new java.util.ArrayList<>();
            for (int i = 0; i < 10; i++) {
                fleet.add(new Contract.Server("s" + i, Contract.Standing.UP, 1, "z" + i % 2, 0, 0));
            }
            rig.module.servers(0, Contract.ListKind.FULL, fleet);
            Contract.Request r = rig.ask(1, 0);
            String first = rig.lastServer(r);
            rig.end(20, r, Contract.Outcome.RESET, 19);
            if (rig.sends(r) == 2) {
                assertEquals(first.charAt(1) % 2, rig.lastServer(r).charAt(1) % 2);
            } else {
                assertEquals("fail", rig.answers.get(r.id));
            }
        }
    }

    @Test
    void noSecondAttemptWhileOneIsOut() {
        // An overdue attempt is neither copied nor called off: in a jam such repeats were what kept it going.
        for (boolean copies : new boolean[] {false, true}) {
            Rig rig = rig(copies, SAFE, Rig.fleet(6));
            Contract.Request r = rig.ask(1, 0);
            rig.runTo(1900);
            assertEquals(1, rig.sends(r));
            assertTrue(rig.cancels.isEmpty());
            rig.end(1900, r, Contract.Outcome.RESET, 1899);
            assertEquals("refuse", rig.answers.get(r.id), "past its aim another attempt is worth nothing");
        }
    }

    @Test
    void aClientThatLeftHasItsAttemptCalledOff() {
        Rig rig = rig(false, SAFE, Rig.fleet(6));
        Contract.Request r = rig.ask(1, 0);
        rig.module.abandoned(5, r);
        assertEquals(1, rig.cancels.size());
        rig.end(6, r, Contract.Outcome.CANCELLED, 5);
        assertTrue(rig.answers.isEmpty(), "nothing is owed any more");
        assertEquals(1, rig.sends(r));
    }

    @Test
    void nothingNewGoesToADrainingOrMissingServer() {
        Rig rig = rig(false, SAFE, Rig.fleet(3));
        rig.module.servers(
                5,
                Contract.ListKind.CHANGES,
                List.of(new Contract.Server("s0", Contract.Standing.DRAINING, 1, "z", 0, 0)));
        rig.module.servers(
                6,
                Contract.ListKind.FULL,
                List.of(new Contract.Server("s0", Contract.Standing.DRAINING, 1, "z", 0, 0), Rig.up("s1")));
        for (int i = 0; i < 50; i++) {
            Contract.Request r = rig.ask(7 + i, 0);
            assertEquals("s1", rig.lastServer(r));
            rig.end(7 + i, r, Contract.Outcome.SERVED, 1);
        }
    }

    @Test
    void aColdServerGetsOnlyItsFractionOfAWarmOnesTraffic() {
        Rig rig = rig(false, SAFE, Rig.fleet(4));
        double now = 0;
        int cold = 0;
        int sent = 0;
        for (int i = 0; i < 8000; i++) {
            now += 1;
            rig.runTo(now);
            if (i == 4000) {
                rig.module.servers(
                        now,
                        Contract.ListKind.CHANGES,
                        List.of(new Contract.Server("s1", Contract.Standing.UP, 1, "z", 0, now)));
            }
            Contract.Request r = rig.ask(now, 0);
            String s = rig.lastServer(r);
            if (s == null) {
                continue;
            }
            if (i >= 4000) {
                sent++;
                cold += s.equals("s1") ? 1 : 0;
            }
            rig.end(now, r, Contract.Outcome.SERVED, 5);
        }
        assertTrue(cold > 100, "it is warmed up: " + cold);
        assertTrue(cold < 0.45 * sent / 4, "and spared: " + cold + " of " + sent);
    }
}
