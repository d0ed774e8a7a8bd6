package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Waiting times of messages between processes whose clocks differ. */
public class TransitClockTest {
    private static final double TOLERANCE_MS = 1e-6;
    /** Offset of the receiver's clock from the sender's. */
    private static final double CLOCK_OFFSET_MS = -7_000_000;

    private static final double TRANSIT_MS = 3;

    // Reports the arrival of a message that was sent at this time of the sender's clock and waited this long.
    private static double waitedMs(TransitClock clock, double sentAtMs, double waitMs) {
        return clock.waitedMs(sentAtMs + CLOCK_OFFSET_MS + TRANSIT_MS + waitMs, Math.round(sentAtMs * 1000));
    }

    @Test
    public void excessOverTheSmallestDifferenceIsWaitingTime() {
        TransitClock clock = new TransitClock();
        assertEquals(waitedMs(clock, 0, 5), 0, TOLERANCE_MS, "the first message has no reference");
        assertEquals(waitedMs(clock, 10, 0), 0, TOLERANCE_MS);
        assertEquals(waitedMs(clock, 20, 40), 40, TOLERANCE_MS);
        assertEquals(waitedMs(clock, 30, 1), 1, TOLERANCE_MS);
    }

    @Test
    public void smallestDifferenceIsKnownAfterSilenceOfAnyLength() {
        TransitClock clock = new TransitClock();
        waitedMs(clock, 0, 0);
        assertEquals(waitedMs(clock, 100, 60_000), 60_000, TOLERANCE_MS, "waited for a minute");
        assertEquals(waitedMs(clock, 350, 59_750), 59_750, TOLERANCE_MS);
        assertEquals(waitedMs(clock, 60_200, 0), 0, TOLERANCE_MS);
    }

    @Test
    public void stoppedClockCountsAsWaitingForAtMostTwoWindows() {
        TransitClock clock = new TransitClock();
        waitedMs(clock, 0, 0);
        double clockStepMs = 5000;
        double sentAtMs = 0;
        while (waitedMs(clock, sentAtMs, clockStepMs) > 1) {
            sentAtMs += 250;
        }
        assertEquals(
                sentAtMs <= 2 * TransitClock.WINDOW_MS + 500,
                true,
                "the step still counts as waiting after " + sentAtMs + " ms");
    }

    @Test
    public void clockDriftCountsAsLittleWaiting() {
        TransitClock clock = new TransitClock();
        double drift = 0.0002;
        for (double sentAtMs = 0; sentAtMs < 3_600_000; sentAtMs += 1500) {
            double waitedMs = waitedMs(clock, sentAtMs, sentAtMs * drift);
            assertEquals(waitedMs < 2 * TransitClock.WINDOW_MS * drift + 1, true, waitedMs + " at " + sentAtMs);
        }
    }

    @Test
    public void messageWithoutAStampHasNoWaitingTime() {
        TransitClock clock = new TransitClock();
        waitedMs(clock, 0, 0);
        assertEquals(clock.waitedMs(1e9, PeerMessage.UNSTAMPED), 0, TOLERANCE_MS);
        assertEquals(clock.remainingMs(1e9, PeerMessage.UNSTAMPED, 40), 40);
    }

    @Test
    public void remainingTimeIsRoundedDownAndNeverNegative() {
        TransitClock clock = new TransitClock();
        waitedMs(clock, 0, 0);
        assertEquals(clock.remainingMs(100 + CLOCK_OFFSET_MS + TRANSIT_MS + 39.5, 100_000, 40), 0);
        assertEquals(clock.remainingMs(100 + CLOCK_OFFSET_MS + TRANSIT_MS + 38.5, 100_000, 40), 1);
        assertEquals(clock.remainingMs(100 + CLOCK_OFFSET_MS + TRANSIT_MS + 900, 100_000, 40), 0);
    }
}
