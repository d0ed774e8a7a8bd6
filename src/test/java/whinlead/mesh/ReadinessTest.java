package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** When a sidecar counts as ready: from its first configuration to SIGTERM, whatever else is lost. */
public class ReadinessTest {
    private static final int GRACE_S = 2;
    private static final int QUESTIONS = 200;

    @Test
    public void aSidecarIsReadyFromItsFirstConfigurationToItsEnd() throws Exception {
        try (LocalMesh mesh = LocalMesh.start(GRACE_S, (talk, request) -> false)) {
            assertFalse(mesh.ready(), "nothing can be served yet");
            assertEquals(mesh.ask("GET /a/x").status(), 503);
            mesh.replace(1, LocalMesh.configuration(1, 1));
            mesh.serves();
            mesh.loseAllOthers();
            for (int i = 0; i < QUESTIONS; i++) {
                assertTrue(mesh.ready(), "neither control nodes nor endpoints in reach");
            }
            assertTrue(mesh.ask("GET /a/x").status() >= 502, "and still it answers");
            assertTrue(mesh.ready());
            CompletableFuture<Void> ended = mesh.stop();
            MeshRig.await("it tells that it leaves", () -> !mesh.ready());
            ended.get(2L * GRACE_S, TimeUnit.SECONDS);
        }
    }
}
