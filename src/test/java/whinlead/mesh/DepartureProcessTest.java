package whinlead.mesh;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.StandInApp;

/**
 * Guards against requests at an endpoint that has left: its departure was acknowledged by a process that had just
 * started, or by one that was killed since, and a heartbeat that the endpoint had sent before arrives late.
 */
public class DepartureProcessTest {
    private static final int LEAVING = 1;
    private static final int STAYING = 0;
    private static final long BEAT_MS = 200;
    /** For how long requests are sent that must not reach the endpoint: more than a record needs to all sidecars. */
    private static final long OBSERVED_NS = TimeUnit.MILLISECONDS.toNanos(1500);

    private MeshRig mesh;
    private int lives;

    @BeforeClass
    public void start() throws Exception {
        mesh = new MeshRig(2);
        String configuration = LocalMeshRun.config("00000001", "svc").replace("\"DeadlineS\":2", "\"DeadlineS\":20");
        MeshRig.await(
                "a control node takes the first configuration",
                () -> mesh.replace(0, "0", configuration).status() == 200);
        for (int i = 0; i < 2; i++) {
            int sidecar = i;
            MeshRig.await("sidecar " + i + " is ready", () -> mesh.ready(sidecar));
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    /** An endpoint of a new life starts at the address of the one that has left. */
    @BeforeMethod
    public void startEndpoint() throws Exception {
        mesh.apps.get(LEAVING).close();
        StandInApp app =
                new StandInApp("i-life-" + ++lives, "svc", mesh.settings.app(LEAVING), mesh.settings.beats(LEAVING));
        mesh.apps.set(LEAVING, app);
        app.beatEvery(BEAT_MS);
        MeshRig.await("it gets requests", () -> {
            mesh.get(STAYING, "/a/x");
            return !app.ran().isEmpty();
        });
    }

    private StandInApp leaving() {
        return mesh.apps.get(LEAVING);
    }

    private void restartSidecar() throws Exception {
        mesh.sidecars.get(LEAVING).destroyForcibly().waitFor();
        mesh.sidecars.set(LEAVING, mesh.sidecar(LEAVING));
        MeshRig.await("the sidecar is ready again", () -> mesh.ready(LEAVING));
    }

    // Repeated as endpoints do after a failure: the control nodes may be out of reach for a moment.
    private void departAcknowledged() throws Exception {
        MeshRig.await("the departure is acknowledged", () -> leaving().depart() == 200);
    }

    private void assertNothingReachesIt() throws IOException {
        int before = leaving().ran().size();
        long end = System.nanoTime() + OBSERVED_NS;
        while (System.nanoTime() < end) {
            mesh.get(STAYING, "/a/x");
            mesh.get(LEAVING, "/a/x");
        }
        assertEquals(leaving().ran().size(), before, "requests at an endpoint that has left");
    }

    @Test
    public void departureToldToAProcessThatHasJustStarted() throws Exception {
        leaving().stopBeating();
        restartSidecar();
        long lateCall = leaving().nextCall();
        departAcknowledged();
        assertEquals(leaving().beat("serving", lateCall), 200);
        assertNothingReachesIt();
    }

    @Test
    public void departureAcknowledgedByAProcessThatWasKilled() throws Exception {
        leaving().stopBeating();
        long lateCall = leaving().nextCall();
        departAcknowledged();
        restartSidecar();
        assertEquals(leaving().beat("serving", lateCall), 200);
        assertNothingReachesIt();
    }

    @Test
    public void drainingAcknowledgedByAProcessThatWasKilled() throws Exception {
        leaving().stopBeating();
        long lateCall = leaving().nextCall();
        MeshRig.await("draining is acknowledged", () -> leaving().beat("draining") == 200);
        restartSidecar();
        assertEquals(leaving().beat("serving", lateCall), 200);
        assertNothingReachesIt();
    }

    @Test
    public void departureAcknowledgedBeforeAllControlNodesWereKilledToo() throws Exception {
        leaving().stopBeating();
        long lateCall = leaving().nextCall();
        departAcknowledged();
        for (Process controlNode : mesh.controlNodes) {
            controlNode.destroyForcibly().waitFor();
        }
        for (int i = 0; i < mesh.controlNodes.size(); i++) {
            mesh.controlNodes.set(i, mesh.controlNode(i, false));
        }
        restartSidecar();
        assertEquals(leaving().beat("serving", lateCall), 200);
        assertNothingReachesIt();
    }
}
