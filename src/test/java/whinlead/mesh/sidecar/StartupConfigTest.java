package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Decision;

/** Which configuration a sidecar without one adopts, and when. */
public class StartupConfigTest {
    private static final Decision OLD_DECISION =
            Decision.founding(List.of("a#0")).successor(5, "d", new byte[] {1});
    private static final Decision NEW_DECISION = OLD_DECISION.successor(6, "e", new byte[] {2});

    @Test
    public void confirmedConfigIsAdoptedAtOnce() {
        assertEquals(new StartupConfig().offer(0, OLD_DECISION, true), OLD_DECISION);
    }

    @Test
    public void unconfirmedConfigIsNotAdoptedBeforeTheWait() {
        StartupConfig startupConfig = new StartupConfig();
        assertNull(startupConfig.offer(0, OLD_DECISION, false));
        assertNull(startupConfig.candidateAfterWait(StartupConfig.CONFIRMATION_WAIT_MS));
        assertEquals(startupConfig.offer(StartupConfig.CONFIRMATION_WAIT_MS, NEW_DECISION, true), NEW_DECISION);
    }

    @Test
    public void newestUnconfirmedConfigIsAdoptedAfterTheWait() {
        StartupConfig startupConfig = new StartupConfig();
        assertNull(startupConfig.offer(0, NEW_DECISION, false));
        assertNull(startupConfig.offer(100, OLD_DECISION, false));
        assertEquals(startupConfig.candidateAfterWait(StartupConfig.CONFIRMATION_WAIT_MS + 1), NEW_DECISION);
    }
}
