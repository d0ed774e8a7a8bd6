package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** How long messages waited between clocks that show different times. */
public class TransitClockTest {
    private static final double EXACT = 1e-6;
    /** What the receiver's clock shows beyond the sender's. */
    private static final double APART = -7_000_000;

    private static final double WAY = 3;

    // The receiver's clock shows this when a message arrives that left so long ago.
    private static double arrives(TransitClock at, double leftAt, double waits) {
        return at.waited(leftAt + APART + WAY + waits, Math.round(leftAt * 1000));
    }

    @Test
    public void whatExceedsTheLeastDifferenceIsWaiting() {
        TransitClock c = new TransitClock();
        assertEquals(arrives(c, 0, 5), 0, EXACT, "the first has nothing to be compared with");
        assertEquals(arrives(c, 10, 0), 0, EXACT);
        assertEquals(arrives(c, 20, 40), 40, EXACT);
        assertEquals(arrives(c, 30, 1), 1, EXACT);
    }

    @Test
    public void aSilenceOfAnyLengthLeavesTheLeastDifferenceKnown() {
        TransitClock c = new TransitClock();
        arrives(c, 0, 0);
        assertEquals(arrives(c, 100, 60_000), 60_000, EXACT, "held back for a minute");
        assertEquals(arrives(c, 350, 59_750), 59_750, EXACT);
        assertEquals(arrives(c, 60_200, 0), 0, EXACT);
    }

    @Test
    public void aClockThatStoodStillIsWaitingNoLongerThanTwoWindows() {
        TransitClock c = new TransitClock();
        arrives(c, 0, 0);
        double step = 5000;
        double at = 0;
        while (arrives(c, at, step) > 1) {
            at += 250;
        }
        assertEquals(at <= 2 * TransitClock.WINDOW_MS + 500, true, "after " + at);
    }

    @Test
    public void clocksThatDriftAreNoWaiting() {
        TransitClock c = new TransitClock();
        double drift = 0.0002;
        for (double at = 0; at < 3_600_000; at += 1500) {
            double waited = arrives(c, at, at * drift);
            assertEquals(waited < 2 * TransitClock.WINDOW_MS * drift + 1, true, waited + " at " + at);
        }
    }

    @Test
    public void withoutAStampNothingIsKnown() {
        TransitClock c = new TransitClock();
        arrives(c, 0, 0);
        assertEquals(c.waited(1e9, PeerMessage.UNSTAMPED), 0, EXACT);
        assertEquals(c.left(1e9, PeerMessage.UNSTAMPED, 40), 40);
    }

    @Test
    public void whatIsLeftIsRoundedDownAndNeverNegative() {
        TransitClock clock = new TransitClock();
        arrives(clock, 0, 0);
        assertEquals(clock.left(100 + APART + WAY + 39.5, 100_000, 40), 0);
        assertEquals(clock.left(100 + APART + WAY + 38.5, 100_000, 40), 1);
        assertEquals(clock.left(100 + APART + WAY + 900, 100_000, 40), 0);
    }
}
