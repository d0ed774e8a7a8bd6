package whinlead.mesh;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Point 3 on processes: a control node is replaced, planned and not, and the next loss comes at once; the others go on
 * taking changes.
 */
public class ReplacedControlNodeTest {
    private static final double ACK_MS = 5000;
    private static final double START_MS = 30_000;
    private static final long GRACE_S = 6;
    private RelayedRig rig;
    private int version;

    @BeforeMethod
    public void start() throws Exception {
        rig = new RelayedRig();
        version = 0;
        rig.startControlNodes();
        rig.change(version, ++version, START_MS, RelayedRig.FOUNDERS);
        rig.awaitReadable();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        rig.close();
    }

    private void change(String name, int... controlNodes) throws Exception {
        int old = version++;
        RelayedRig.figure(name, rig.change(old, version, ACK_MS, controlNodes));
        for (int controlNode : controlNodes) {
            RelayedRig.await(
                    "control node " + controlNode + " reads it",
                    ACK_MS,
                    () -> rig.read(controlNode).text().equals(RelayedRig.config(version)));
        }
    }

    private boolean isVoter(int controlNode) throws Exception {
        return rig.log("o" + controlNode).contains("204 vote: this control node votes");
    }

    private boolean elects(int at, int controlNode) throws Exception {
        return rig.voters(at).contains(rig.settings.controlNodeIp(controlNode) + "#");
    }

    @Test
    public void oneThatIsReplacedByPlanAndALossRightAfter() throws Exception {
        double began = RelayedRig.now();
        rig.controlNode(3, false);
        rig.runs(3);
        double ready = RelayedRig.now();
        RelayedRig.await("it has a vote", START_MS, () -> isVoter(3));
        RelayedRig.figure("planned: new control node ready after its start", ready - began);
        RelayedRig.figure("planned: seated after its start", RelayedRig.now() - began);
        double told = RelayedRig.now();
        rig.process("o0").destroy();
        assertTrue(rig.process("o0").waitFor(GRACE_S, TimeUnit.SECONDS), "it ends before it would be killed");
        double ended = RelayedRig.now();
        // At once, with the word of its leaving perhaps still on its way to some.
        rig.kill("o2");
        RelayedRig.await("the set of voters is without it", ACK_MS, () -> !elects(1, 0) && !elects(3, 0));
        RelayedRig.figure("planned: process ended after SIGTERM", ended - told);
        RelayedRig.figure("planned: set of voters known without it after SIGTERM, at most", RelayedRig.now() - told);
        change("planned: change taken after the next loss", 1, 3);
        // Unplanned, right behind: the one that was lost has no disk any more; another comes elsewhere.
        rig.loseDisk(2);
        double second = RelayedRig.now();
        rig.controlNode(4, false);
        RelayedRig.await("the second new one has a vote", START_MS, () -> isVoter(4));
        RelayedRig.figure("unplanned: seated after its start", RelayedRig.now() - second);
        // It may get its vote beside the lost one, whose last sign of life is less than a second old; then the lost one
        // is dropped once it has been silent. The core bears the next loss after that.
        RelayedRig.await(
                "the lost one has no vote and all others have",
                ACK_MS,
                () -> !elects(4, 2) && elects(4, 1) && elects(4, 3));
        rig.kill("o1");
        change("unplanned: change taken after the next loss", 3, 4);
    }

    @Test
    public void oneThatIsToldToEndWhileItsSuccessorStarts() throws Exception {
        double began = RelayedRig.now();
        rig.controlNode(3, false);
        rig.process("o0").destroy();
        assertTrue(rig.process("o0").waitFor(GRACE_S, TimeUnit.SECONDS));
        RelayedRig.figure("together: old one ended", RelayedRig.now() - began);
        change("together: change taken", 1, 2);
        RelayedRig.await("the new one has a vote", START_MS, () -> isVoter(3));
        RelayedRig.await("in place of the old", START_MS, () -> !elects(1, 0) && elects(1, 3));
        RelayedRig.figure("together: core of three again after the start", RelayedRig.now() - began);
        rig.kill("o2");
        change("together: change taken after the next loss", 1, 3);
    }
}
