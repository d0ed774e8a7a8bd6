package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Talk;

/**
 * Uploads that are longer than a message between sidecars may be, beside other requests. Once, such an upload closed
 * the connection between the two sidecars, and requests that their endpoint was running were answered with 502.
 */
public class LongUploadTest {
    private static final int UPLOAD_BYTES = 25 << 20;
    private static final int GRACE_S = 3;
    private static final double DEADLINE_S = 30;

    private LocalMesh mesh;

    @BeforeMethod
    public void start() throws Exception {
        mesh = LocalMesh.start(GRACE_S, (talk, request) -> false);
        mesh.replace(1, LocalMesh.configuration(1, DEADLINE_S));
        mesh.serves();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    // Regression: one client's upload of 25 MiB broke off the requests of others.
    @Test
    public void longUploadIsServedAndLeavesRunningRequestsAlone() throws Exception {
        LocalMesh.Sent order = mesh.send("POST /b/slow", 10);
        MeshRig.await("the order runs", () -> mesh.app.runs(order.id()) == 1);
        LocalMesh.Sent upload = mesh.send("POST /b/upload", UPLOAD_BYTES);
        assertEquals(upload.get().status(), 200);
        assertEquals(bodyLengths(upload.id()), List.of(UPLOAD_BYTES));
        mesh.app.release();
        assertEquals(order.get().status(), 200);
        assertEquals(mesh.app.runs(order.id()), 1);
    }

    @Test
    public void longUploadWithoutAnEndpointIsRefused() throws Exception {
        mesh.app.close();
        MeshRig.await("the endpoint is gone", () -> mesh.ask("GET /a/x").status() == 503);
        Talk.Message refusal = mesh.send("POST /b/upload", UPLOAD_BYTES).get();
        assertNotNull(refusal, "the response is lost if the connection is reset");
        assertEquals(refusal.status(), 503);
        assertTrue(Double.parseDouble(refusal.headers().get("retry-after")) > 0);
    }

    private List<Integer> bodyLengths(String attemptId) {
        return mesh.app.ran().stream()
                .filter(request -> attemptId.equals(request.headers().get("attempt-id")))
                .map(request -> request.body().length)
                .toList();
    }
}
