package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** After a restart with an old list a sidecar tried 2,500 connections in a second to servers that were gone. */
class UnreachableTest {
    private static final double PERIOD = 100;

    @Test
    void theWaitDoublesAndOneAttemptTriesIt() {
        Unreachable reach = new Unreachable();
        assertFalse(reach.shuns(0, 5), "nothing is known");
        double now = 0;
        for (double wait : new double[] {100, 200, 400, 800, 1600, 1600}) {
            reach.ended(now, PERIOD, Contract.Outcome.CONNECT_FAILED);
            reach.ended(now + wait / 2, PERIOD, Contract.Outcome.CONNECT_FAILED);
            assertTrue(reach.shuns(now + wait - 1, 0), "one sent before the first failure lengthens nothing: " + wait);
            assertFalse(reach.shuns(now + wait, 0), "after " + wait);
            assertTrue(reach.shuns(now + wait, 1), "a second one while the first tries it");
            now += wait;
        }
        reach.ended(now, PERIOD, Contract.Outcome.NEVER_SENT);
        assertTrue(reach.shuns(now, 3), "one that was never sent tells nothing");
        reach.ended(now, PERIOD, Contract.Outcome.FULL);
        assertFalse(reach.shuns(now, 3), "any other end shows that it can be reached");
    }

    @Test
    void ofServersThatAreGoneEachIsTriedAHandfulOfTimes() {
        Rig rig = new Rig(Rig.settings(false, Rig.kind("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.STALE, Rig.fleet(20));
        int tried = 0;
        for (double now = 1; now < 3000; now += 2) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            while (!rig.answers.containsKey(r.id)) {
                tried++;
                rig.end(now, r, Contract.Outcome.CONNECT_FAILED, 0.2);
            }
        }
        assertTrue(tried <= 20 * 7, "tries of 20 servers in 3 s, over 1,500 requests: " + tried);
    }

    @Test
    void oneThatComesBackIsUsedAgainAtOnce() {
        Rig rig = new Rig(Rig.settings(false, Rig.kind("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(2));
        int late = 0;
        for (double now = 1; now < 8000; now += 20) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            boolean gone = now < 3000;
            while (!rig.answers.containsKey(r.id) && rig.sends(r) > 0) {
                boolean refused = gone && rig.lastServer(r).equals("s1");
                late += !gone && now > 6000 && rig.lastServer(r).equals("s1") ? 1 : 0;
                rig.end(now, r, refused ? Contract.Outcome.CONNECT_FAILED : Contract.Outcome.SERVED, 20);
                if (!refused) {
                    break;
                }
            }
            assertTrue(gone || rig.sends(r) > 0, "sent at " + now);
        }
        assertTrue(late > 30, "of 100 requests in the last 2 s: " + late);
    }
}
