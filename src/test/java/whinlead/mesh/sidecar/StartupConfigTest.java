package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Decision;

/** What a sidecar without a configuration begins with. */
public class StartupConfigTest {
    private static final Decision OLD = Decision.founding(List.of("a#0")).with(5, "d", new byte[] {1});
    private static final Decision NEW = OLD.with(6, "e", new byte[] {2});

    @Test
    public void whatAMajorityConfirmsIsTakenAtOnce() {
        assertEquals(new StartupConfig().offered(0, OLD, true), OLD);
    }

    @Test
    public void aControlNodeThatIsCutOffIsNotTheOneToBeginWith() {
        StartupConfig b = new StartupConfig();
        assertNull(b.offered(0, OLD, false));
        assertNull(b.waited(StartupConfig.WAIT));
        assertEquals(b.offered(StartupConfig.WAIT, NEW, true), NEW);
    }

    @Test
    public void withNothingBetterInReachTheNewestThatIsKnownServes() {
        StartupConfig b = new StartupConfig();
        assertNull(b.offered(0, NEW, false));
        assertNull(b.offered(100, OLD, false));
        assertEquals(b.waited(StartupConfig.WAIT + 1), NEW);
    }
}
