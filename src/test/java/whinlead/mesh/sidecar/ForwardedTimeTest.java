package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.TransitClock;

/** What is left of a forwarded request's time, also where the process that gets it stood still. */
public class ForwardedTimeTest {
    private static final int LEFT_MS = 1000;
    private static final double FROZEN_MS = 3000;

    private ForwardedTime time;

    @BeforeMethod
    public void start() {
        time = new ForwardedTime();
        time.running(0);
    }

    private static PeerMessage.ForwardRequest written(double at) {
        return new PeerMessage.ForwardRequest(
                1, "POST", "/x", List.of(), new byte[0], LEFT_MS, "svc", "i-1", 0, (long) (at * 1000));
    }

    @Test
    public void whatWaitedIsTakenOff() {
        TransitClock known = new TransitClock();
        assertEquals(time.left(100, known, written(100)), LEFT_MS);
        assertEquals(time.left(400, known, written(200)), LEFT_MS - 200);
    }

    @Test
    public void afterAStandstillNothingIsBegunWhoseTimeWentByInIt() {
        TransitClock known = new TransitClock();
        time.left(100, known, written(100));
        double thawed = 100 + FROZEN_MS;
        assertEquals(time.left(thawed, known, written(200)), 0);
        assertEquals(time.left(thawed, known, written(thawed - 300)), LEFT_MS - 300);
    }

    @Test
    public void theBacklogOfAConnectionMadeInAStandstillIsNotBegun() {
        TransitClock unknown = new TransitClock();
        double thawed = FROZEN_MS;
        assertEquals(time.left(thawed, unknown, written(500)), 0);
        assertEquals(time.left(thawed + 1, unknown, written(600)), 0);
        time.running(thawed + ForwardedTime.BACKLOG_MS);
        double later = thawed + ForwardedTime.BACKLOG_MS + 1;
        assertEquals(time.left(later, unknown, written(later)), LEFT_MS);
    }

    @Test
    public void aConnectionMadeWhileItRunsIsTakenAtItsWord() {
        time.running(ForwardedTime.STANDSTILL_MS);
        assertEquals(time.left(ForwardedTime.STANDSTILL_MS + 100, new TransitClock(), written(10)), LEFT_MS);
    }

    @Test
    public void aPeerThatStampsNothingIsTakenAtItsWord() {
        PeerMessage.ForwardRequest unstamped =
                new PeerMessage.ForwardRequest(1, "POST", "/x", List.of(), new byte[0], LEFT_MS, "svc", "i-1", 0);
        assertEquals(time.left(FROZEN_MS, new TransitClock(), unstamped), LEFT_MS);
    }
}
