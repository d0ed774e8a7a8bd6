package whinlead.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import whinlead.Contract;

/** A sidecar that lacks CPU time drops requests itself and does not blame the servers. */
class StrainTest {
    private static final double DURATION_MS = 20;
    /** Over a tenth of the latency target of Rig, 500 ms; a longer loop delay counts. */
    private static final double LOOP_DELAY_MS = 150;

    private final Rig rig = new Rig(
            Rig.settings(
                    false,
                    Rig.requestClass("high", 6, Contract.Effect.SAFE, Contract.Group.ALL),
                    Rig.requestClass("low", 2, Contract.Effect.SAFE, Contract.Group.ALL)),
            11);
    private final int[] requests = new int[2];
    private final int[] refused = new int[2];

    private void drive(double fromMs, double toMs, double loopDelayMs) {
        requests[0] = requests[1] = refused[0] = refused[1] = 0;
        int i = 0;
        for (double nowMs = fromMs; nowMs < toMs; nowMs += 10, i++) {
            if (rig.wakeAtMs + loopDelayMs <= nowMs) {
                rig.module.wake(nowMs);
            }
            int classIndex = i % 4 == 0 ? 1 : 0;
            Contract.Request request = rig.sendRequest(nowMs, classIndex);
            requests[classIndex]++;
            if (rig.sendCount(request) > 0) {
                rig.endAttempt(nowMs, request, Contract.Outcome.SERVED, DURATION_MS);
            } else {
                refused[classIndex]++;
            }
        }
    }

    private double totalDropShare() {
        return rig.module.serverList.nodes.values().stream()
                .mapToDouble(n -> n.dropShare)
                .sum();
    }

    @Test
    void lateLoopShedsLowestWorthFirstAndDropsAtNoServer() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        drive(0, 5000, 0);
        assertEquals(0, refused[0] + refused[1]);
        drive(5000, 6200, LOOP_DELAY_MS);
        assertTrue(refused[1] > 0, "lower worth is dropped while the loop is late");
        assertEquals(0, refused[0], "higher worth is not dropped before all of the lower");
        drive(6200, 12_000, LOOP_DELAY_MS);
        assertTrue(
                (double) refused[0] / requests[0] > 0.3,
                "higher worth is dropped too while the loop stays late: " + refused[0]);
        assertEquals(0, totalDropShare(), "drop shares of servers stay 0");
        assertTrue(rig.actions.contains("log own loop late: shedding for it"));
        drive(12_000, 18_000, 0);
        drive(18_000, 20_000, 0);
        assertEquals(0, refused[0] + refused[1], "nothing is refused once the loop is in time");
        assertTrue(rig.actions.contains("log own loop in time again"));
    }

    @Test
    void lastPlacesAreReservedForTheHighestWorth() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        rig.freeShare = 0.5;
        drive(0, 5000, 0);
        assertEquals(0, refused[0] + refused[1], "nothing is refused with half of the places free");
        rig.freeShare = 0.05;
        drive(5000, 10_000, 0);
        double shed = (double) refused[1] / requests[1];
        assertTrue(
                shed > 0.4 && shed < 0.6,
                "share of lower worth refused with half of the reserved places taken: " + shed);
        rig.freeShare = 0;
        drive(10_000, 15_000, 0);
        assertEquals(requests[1], refused[1], "all of the lower worth is refused with no place left");
        assertEquals(0, refused[0], "the highest worth is not refused");
        assertEquals(0, totalDropShare(), "drop shares of servers stay 0");
    }

    @Test
    void singlePauseShedsNothing() {
        rig.module.start(0);
        rig.module.servers(0, Contract.ListKind.FULL, Rig.fleet(4));
        drive(0, 5000, 0);
        rig.module.wake(rig.wakeAtMs + 400);
        drive(5500, 8000, 0);
        assertEquals(0, refused[0] + refused[1]);
    }
}
