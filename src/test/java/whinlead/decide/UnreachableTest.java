package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Guards against 2,500 connection attempts per second to dead servers, seen after a restart with an old list. */
class UnreachableTest {
    private static final double PERIOD_MS = 100;

    @Test
    void waitDoublesAndOneAttemptTriesAgain() {
        Unreachable reachability = new Unreachable();
        assertFalse(reachability.avoids(0, 5), "not avoided before the first failure");
        double nowMs = 0;
        for (double waitMs : new double[] {100, 200, 400, 800, 1600, 1600}) {
            reachability.recordOutcome(nowMs, PERIOD_MS, Contract.Outcome.CONNECT_FAILED);
            reachability.recordOutcome(nowMs + waitMs / 2, PERIOD_MS, Contract.Outcome.CONNECT_FAILED);
            assertTrue(
                    reachability.avoids(nowMs + waitMs - 1, 0),
                    "a failure of an attempt sent before the first failure does not extend the wait of " + waitMs);
            assertFalse(reachability.avoids(nowMs + waitMs, 0), "after " + waitMs);
            assertTrue(reachability.avoids(nowMs + waitMs, 1), "avoided while one attempt tries it");
            nowMs += waitMs;
        }
        reachability.recordOutcome(nowMs, PERIOD_MS, Contract.Outcome.NEVER_SENT);
        assertTrue(reachability.avoids(nowMs, 3), "still avoided after an attempt that was never sent");
        reachability.recordOutcome(nowMs, PERIOD_MS, Contract.Outcome.FULL);
        assertFalse(reachability.avoids(nowMs, 3), "any other outcome shows that the server is reachable");
    }

    @Test
    void deadServersAreTriedOnlyAFewTimes() {
        Rig rig =
                new Rig(Rig.settings(false, Rig.requestClass("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.STALE, Rig.fleet(20));
        int attempts = 0;
        for (double nowMs = 1; nowMs < 3000; nowMs += 2) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            while (!rig.answers.containsKey(request.id)) {
                attempts++;
                rig.endAttempt(nowMs, request, Contract.Outcome.CONNECT_FAILED, 0.2);
            }
        }
        assertTrue(attempts <= 20 * 7, "attempts at 20 servers in 3 s with 1,500 requests: " + attempts);
    }

    @Test
    void recoveredServerIsUsedAgain() {
        Rig rig =
                new Rig(Rig.settings(false, Rig.requestClass("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(2));
        int sentLate = 0;
        for (double nowMs = 1; nowMs < 8000; nowMs += 20) {
            rig.runTo(nowMs);
            Contract.Request request = rig.sendRequest(nowMs, 0);
            boolean unreachable = nowMs < 3000;
            while (!rig.answers.containsKey(request.id) && rig.sendCount(request) > 0) {
                boolean refused = unreachable && rig.lastServer(request).equals("s1");
                sentLate +=
                        !unreachable && nowMs > 6000 && rig.lastServer(request).equals("s1") ? 1 : 0;
                rig.endAttempt(nowMs, request, refused ? Contract.Outcome.CONNECT_FAILED : Contract.Outcome.SERVED, 20);
                if (!refused) {
                    break;
                }
            }
            assertTrue(unreachable || rig.sendCount(request) > 0, "not sent after recovery at " + nowMs);
        }
        assertTrue(sentLate > 30, "attempts at the recovered server of 100 requests in the last 2 s: " + sentLate);
    }
}
