package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** The four rules; each script fails if the guard of its rule is removed. */
class RulesTest {
    private static final Contract.RequestClass SAFE =
            Rig.requestClass("a", 2, Contract.Effect.SAFE, Contract.Group.ALL);
    private static final Contract.RequestClass UNSAFE =
            Rig.requestClass("b", 2, Contract.Effect.UNSAFE, Contract.Group.ALL);
    private static final Contract.RequestClass KEYED =
            Rig.requestClass("c", 2, Contract.Effect.KEYED, Contract.Group.ZONE);

    private static Rig rig(boolean copies, Contract.RequestClass requestClass, List<Contract.Server> fleet) {
        Rig rig = new Rig(Rig.settings(copies, requestClass), 7);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, fleet);
        return rig;
    }

    @Test
    void emptyFleetRefusesAtOnce() {
        Rig rig = rig(false, SAFE, List.of());
        Contract.Request request = rig.sendRequest(1, 0);
        assertEquals("refuse", rig.answers.get(request.id));
    }

    @Test
    void timeoutAtTheDeadlineFails() {
        Rig rig = rig(false, SAFE, Rig.fleet(6));
        Contract.Request request = rig.sendRequest(1, 0, -1, 300);
        rig.endAttempt(301, request, Contract.Outcome.TIMED_OUT, 300);
        assertEquals("fail", rig.answers.get(request.id));
        assertEquals(1, rig.sendCount(request));
    }

    @Test
    void unsafeRequestThatMayHaveRunIsNeitherRepeatedNorRefused() {
        for (Contract.Outcome outcome : Contract.Outcome.values()) {
            if (outcome.neverRan || outcome == Contract.Outcome.SERVED) {
                continue;
            }
            Rig rig = rig(false, UNSAFE, Rig.fleet(6));
            Contract.Request request = rig.sendRequest(1, 0);
            rig.endAttempt(20, request, outcome, 19);
            assertEquals(1, rig.sendCount(request), outcome.toString());
            assertEquals("fail", rig.answers.get(request.id), outcome.toString());
        }
    }

    @Test
    void unsafeRequestThatNeverRanGoesToAnotherServer() {
        Rig rig = rig(false, UNSAFE, Rig.fleet(6));
        Contract.Request request = rig.sendRequest(1, 0);
        String first = rig.lastServer(request);
        rig.endAttempt(20, request, Contract.Outcome.FULL, 19);
        assertEquals(2, rig.sendCount(request));
        assertNotEquals(first, rig.lastServer(request));
    }

    @Test
    void keyedRequestThatMayHaveRunStaysInItsZone() {
        for (int seed = 0; seed < 40; seed++) {
            Rig rig = new Rig(Rig.settings(false, KEYED), seed);
            rig.module.start(0);
            List<Contract.Server> fleet = new java.util.ArrayList<>();
            for (int i = 0; i < 10; i++) {
                fleet.add(new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z" + i % 2, 0, 0));
            }
            rig.module.servers(0, Contract.ListKind.FULL, fleet);
            Contract.Request request = rig.sendRequest(1, 0);
            String first = rig.lastServer(request);
            rig.endAttempt(20, request, Contract.Outcome.RESET, 19);
            if (rig.sendCount(request) == 2) {
                assertEquals(first.charAt(1) % 2, rig.lastServer(request).charAt(1) % 2);
            } else {
                assertEquals("fail", rig.answers.get(request.id));
            }
        }
    }

    @Test
    void noSecondAttemptWhileOneIsInFlight() {
        // An overdue attempt is neither duplicated nor cancelled: in an overload such repeats kept the overload going.
        for (boolean copies : new boolean[] {false, true}) {
            Rig rig = rig(copies, SAFE, Rig.fleet(6));
            Contract.Request request = rig.sendRequest(1, 0);
            rig.runTo(1900);
            assertEquals(1, rig.sendCount(request));
            assertTrue(rig.cancels.isEmpty());
            rig.endAttempt(1900, request, Contract.Outcome.RESET, 1899);
            assertEquals(
                    "refuse",
                    rig.answers.get(request.id),
                    "no retry after the latency target, when an answer has no value");
        }
    }

    @Test
    void attemptIsCancelledWhenTheClientLeaves() {
        Rig rig = rig(false, SAFE, Rig.fleet(6));
        Contract.Request request = rig.sendRequest(1, 0);
        rig.module.abandoned(5, request);
        assertEquals(1, rig.cancels.size());
        rig.endAttempt(6, request, Contract.Outcome.CANCELLED, 5);
        assertTrue(rig.answers.isEmpty(), "no answer after the client has left");
        assertEquals(1, rig.sendCount(request));
    }

    @Test
    void drainingOrMissingServerGetsNothingNew() {
        Rig rig = rig(false, SAFE, Rig.fleet(3));
        rig.module.servers(
                5,
                Contract.ListKind.CHANGES,
                List.of(new Contract.Server("s0", Contract.ServerState.DRAINING, 1, "z", 0, 0)));
        rig.module.servers(
                6,
                Contract.ListKind.FULL,
                List.of(new Contract.Server("s0", Contract.ServerState.DRAINING, 1, "z", 0, 0), Rig.upServer("s1")));
        for (int i = 0; i < 50; i++) {
            Contract.Request request = rig.sendRequest(7 + i, 0);
            assertEquals("s1", rig.lastServer(request));
            rig.endAttempt(7 + i, request, Contract.Outcome.SERVED, 1);
        }
    }

    @Test
    void coldServerGetsOnlyItsFractionOfTheTraffic() {
        Rig rig = rig(false, SAFE, Rig.fleet(4));
        double nowMs = 0;
        int cold = 0;
        int sent = 0;
        for (int i = 0; i < 8000; i++) {
            nowMs += 1;
            rig.runTo(nowMs);
            if (i == 4000) {
                rig.module.servers(
                        nowMs,
                        Contract.ListKind.CHANGES,
                        List.of(new Contract.Server("s1", Contract.ServerState.UP, 1, "z", 0, nowMs)));
            }
            Contract.Request request = rig.sendRequest(nowMs, 0);
            String server = rig.lastServer(request);
            if (server == null) {
                continue;
            }
            if (i >= 4000) {
                sent++;
                cold += server.equals("s1") ? 1 : 0;
            }
            rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, 5);
        }
        assertTrue(cold > 100, "requests at the cold server: " + cold);
        assertTrue(
                cold < 0.45 * sent / 4,
                "requests at the cold server, expected under 45 % of a quarter: " + cold + " of " + sent);
    }
}
