package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** What a sidecar holds in all where servers tell nothing of their load, and failed connects beside it. */
class CeilingTest {
    private static final int SERVERS = 12;
    private static final double TOOK = 140;

    private record Out(double at, Contract.Request request) {}

    private final Rig rig =
            new Rig(Rig.settings(false, Rig.kind("read", 1, Contract.Effect.SAFE, Contract.Group.ALL)), 5);
    private final Deque<Out> out = new ArrayDeque<>();
    private int asked;
    private int refused;
    private int most;

    CeilingTest() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(SERVERS));
    }

    /** One request each gap; each is answered once it has been out for so long. */
    private void drive(double from, double to, double gap, double took) {
        for (double now = from; now < to; now += gap) {
            while (!out.isEmpty() && out.peek().at() + took <= now) {
                Out o = out.poll();
                rig.runTo(o.at() + took);
                rig.end(o.at() + took, o.request(), Contract.Outcome.SERVED, took);
            }
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            asked++;
            if (rig.sends(r) > 0) {
                out.add(new Out(now, r));
            } else {
                refused++;
            }
            most = Math.max(most, out.size());
        }
    }

    @Test
    void aBurstDoesNotFillAllServers() {
        drive(1, 6000, 10, TOOK);
        assertEquals(0, refused, "held 14 of the 14 that it holds when well");
        // Ten times as much, and slower for it: the walk finds a server that passes for nearly each.
        drive(6000, 6400, 1, 400);
        assertTrue(most <= 20, "held " + most);
        assertTrue(refused > 300, "refused " + refused);
    }

    @Test
    void aRiseThatIsAnsweredInTimeIsFollowed() {
        drive(1, 3000, 10, TOOK);
        drive(3000, 6000, 3, TOOK);
        asked = 0;
        refused = 0;
        drive(6000, 9000, 3, TOOK);
        assertTrue(refused < asked / 100, refused + " refused of " + asked);
    }

    @Test
    void whatWasHeldWhenWellIsKnownAfterALull() {
        drive(1, 3000, 3, TOOK);
        drive(3000, 23_000, 100, TOOK);
        refused = 0;
        asked = 0;
        drive(23_000, 24_000, 3, TOOK);
        assertTrue(refused < asked / 20, refused + " refused of " + asked);
    }

    @Test
    void halfTheServersOutOfReachRefuseNothingAndBlameNoOther() {
        for (double now = 1; now < 8000; now += 10) {
            rig.runTo(now);
            Contract.Request r = rig.ask(now, 0);
            while (!rig.answers.containsKey(r.id)
                    && Integer.parseInt(rig.lastServer(r).substring(1)) % 2 == 0) {
                rig.end(now, r, Contract.Outcome.CONNECT_FAILED, 0);
            }
            if (!rig.answers.containsKey(r.id)) {
                rig.end(now, r, Contract.Outcome.SERVED, TOOK);
            }
            refused += rig.answers.containsKey(r.id) ? 1 : 0;
            for (int i = 1; i < SERVERS; i += 2) {
                assertEquals(0, rig.module.dropShare("s" + i), "at " + now + " of s" + i);
            }
        }
        assertTrue(refused <= 8, refused + " of 800, for want of a fifth attempt only");
    }
}
