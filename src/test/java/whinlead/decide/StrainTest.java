package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** Too little processor at the sidecar itself: told apart from what is wrong with servers. */
class StrainTest {
    private static final double SERVED_IN = 20;
    /** Over a tenth of Rig's aim of 500 ms, from which lateness of the loop counts. */
    private static final double LATE = 150;

    private final Rig rig = new Rig(
            Rig.settings(
                    false,
                    Rig.kind("high", 6, Contract.Effect.SAFE, Contract.Group.ALL),
                    Rig.kind("low", 2, Contract.Effect.SAFE, Contract.Group.ALL)),
            11);
    private final int[] asked = new int[2];
    private final int[] refused = new int[2];

    private void drive(double from, double to, double late) {
        asked[0] = asked[1] = refused[0] = refused[1] = 0;
        int i = 0;
        for (double now = from; now < to; now += 10, i++) {
            if (rig.wakeAt + late <= now) {
                rig.module.wake(now);
            }
            int k = i % 4 == 0 ? 1 : 0;
            Contract.Request r = rig.ask(now, k);
            asked[k]++;
            if (rig.sends(r) > 0) {
                rig.end(now, r, Contract.Outcome.SERVED, SERVED_IN);
            } else {
                refused[k]++;
            }
        }
    }

    private double shut() {
        return rig.module.list.nodes.values().stream()
                .mapToDouble(n -> n.percentage)
                .sum();
    }

    @Test
    void aLateLoopShedsLowestWorthFirstAndNoServerIsBlamed() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        drive(0, 5000, 0);
        assertEquals(0, refused[0] + refused[1]);
        drive(5000, 6200, LATE);
        assertTrue(refused[1] > 0, "some is shed");
        assertEquals(0, refused[0], "and none of the higher worth before all of the lower");
        drive(6200, 12_000, LATE);
        assertTrue((double) refused[0] / asked[0] > 0.3, "more while it stays late: " + refused[0]);
        assertEquals(0, shut(), "servers answer as before");
        assertTrue(rig.actions.contains("log own loop late: shedding for it"));
        drive(12_000, 18_000, 0);
        drive(18_000, 20_000, 0);
        assertEquals(0, refused[0] + refused[1], "nothing once it is in time");
        assertTrue(rig.actions.contains("log own loop in time again"));
    }

    @Test
    void aFrontShortOfPlacesKeepsThemForWhatIsWorthMost() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        rig.room = 0.5;
        drive(0, 5000, 0);
        assertEquals(0, refused[0] + refused[1], "with room for it all is taken");
        rig.room = 0.05;
        drive(5000, 10_000, 0);
        double shed = (double) refused[1] / asked[1];
        assertTrue(shed > 0.4 && shed < 0.6, "half of the low one's share at half of what is kept: " + shed);
        rig.room = 0;
        drive(10_000, 15_000, 0);
        assertEquals(asked[1], refused[1], "all of it with the last place");
        assertEquals(0, refused[0], "and none of what is worth most, which the places are for");
        assertEquals(0, shut(), "servers answer as before");
    }

    @Test
    void aSinglePauseShedsNothing() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        drive(0, 5000, 0);
        rig.module.wake(rig.wakeAt + 400);
        drive(5500, 8000, 0);
        assertEquals(0, refused[0] + refused[1]);
    }
}
