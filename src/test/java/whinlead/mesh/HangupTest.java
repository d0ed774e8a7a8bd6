package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;

/** SIGHUP at a sidecar's process: its settings are read again, and nothing under way is cut off. */
public class HangupTest {
    private static final int SIGNALS = 5;
    private static final long WAIT_S = 30;

    private static void hangUp(Process process) throws Exception {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(kill.waitFor(), 0);
    }

    @Test
    public void whatIsUnderWayIsAnsweredAndTheSidecarStaysReady() throws Exception {
        try (MeshRig mesh = new MeshRig(1)) {
            String configuration =
                    LocalMeshRun.config("00000001", "svc").replace("\"DeadlineS\":2", "\"DeadlineS\":20");
            MeshRig.await(
                    "a configuration is taken",
                    () -> mesh.replace(0, "0", configuration).status() == 200);
            MeshRig.await("the sidecar is ready", () -> mesh.ready(0));
            MeshRig.await("it serves", () -> mesh.get(0, "/a/x").status() == 200);
            StandInApp app = mesh.apps.get(0);
            CompletableFuture<Talk.Message> slow = CompletableFuture.supplyAsync(() -> {
                try {
                    return mesh.get(0, "/a" + StandInApp.SLOW);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            MeshRig.await(
                    "it is at its endpoint",
                    () -> app.ran().stream().anyMatch(m -> m.first().contains(StandInApp.SLOW)));
            for (int i = 0; i < SIGNALS; i++) {
                hangUp(mesh.sidecars.get(0));
                assertTrue(mesh.ready(0));
                MeshRig.await(
                        "it serves after a signal", () -> mesh.get(0, "/a/x").status() == 200);
            }
            app.release();
            assertEquals(slow.get(WAIT_S, TimeUnit.SECONDS).status(), 200);
            assertTrue(mesh.sidecars.get(0).isAlive());
        }
    }
}
