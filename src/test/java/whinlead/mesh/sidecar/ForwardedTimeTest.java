package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.TransitClock;

/** The remaining time of a forwarded request, also if the receiving process was paused. */
public class ForwardedTimeTest {
    private static final int TIMEOUT_MS = 1000;
    private static final double PAUSE_MS = 3000;

    private ForwardedTime forwardedTime;

    @BeforeMethod
    public void start() {
        forwardedTime = new ForwardedTime();
        forwardedTime.recordRunning(0);
    }

    private static PeerMessage.ForwardRequest requestWrittenAt(double atMs) {
        return new PeerMessage.ForwardRequest(
                1, "POST", "/x", List.of(), new byte[0], TIMEOUT_MS, "svc", "i-1", 0, (long) (atMs * 1000));
    }

    @Test
    public void transitTimeIsSubtracted() {
        TransitClock transit = new TransitClock();
        assertEquals(forwardedTime.remainingMs(100, transit, requestWrittenAt(100)), TIMEOUT_MS);
        assertEquals(forwardedTime.remainingMs(400, transit, requestWrittenAt(200)), TIMEOUT_MS - 200);
    }

    @Test
    public void requestThatExpiredDuringAPauseIsNotStarted() {
        TransitClock transit = new TransitClock();
        forwardedTime.remainingMs(100, transit, requestWrittenAt(100));
        double resumedMs = 100 + PAUSE_MS;
        assertEquals(forwardedTime.remainingMs(resumedMs, transit, requestWrittenAt(200)), 0);
        assertEquals(
                forwardedTime.remainingMs(resumedMs, transit, requestWrittenAt(resumedMs - 300)), TIMEOUT_MS - 300);
    }

    @Test
    public void backlogOfAConnectionMadeDuringAPauseIsNotStarted() {
        TransitClock transit = new TransitClock();
        double resumedMs = PAUSE_MS;
        assertEquals(forwardedTime.remainingMs(resumedMs, transit, requestWrittenAt(500)), 0);
        assertEquals(forwardedTime.remainingMs(resumedMs + 1, transit, requestWrittenAt(600)), 0);
        forwardedTime.recordRunning(resumedMs + ForwardedTime.BACKLOG_WINDOW_MS);
        double laterMs = resumedMs + ForwardedTime.BACKLOG_WINDOW_MS + 1;
        assertEquals(forwardedTime.remainingMs(laterMs, transit, requestWrittenAt(laterMs)), TIMEOUT_MS);
    }

    @Test
    public void firstRequestOfAConnectionMadeWhileRunningKeepsItsTime() {
        forwardedTime.recordRunning(ForwardedTime.PAUSE_THRESHOLD_MS);
        assertEquals(
                forwardedTime.remainingMs(
                        ForwardedTime.PAUSE_THRESHOLD_MS + 100, new TransitClock(), requestWrittenAt(10)),
                TIMEOUT_MS);
    }

    @Test
    public void unstampedRequestKeepsItsTime() {
        PeerMessage.ForwardRequest unstamped =
                new PeerMessage.ForwardRequest(1, "POST", "/x", List.of(), new byte[0], TIMEOUT_MS, "svc", "i-1", 0);
        assertEquals(forwardedTime.remainingMs(PAUSE_MS, new TransitClock(), unstamped), TIMEOUT_MS);
    }
}
