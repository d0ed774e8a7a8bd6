package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;

/** Planned work cuts nothing off: what was read whole gets a whole answer, its endpoint's if there is one. */
public class PlannedWorkTest {
    private static final int GRACE_S = 5;
    private static final double LONG_S = 60;
    private static final double SHORT_S = 0.6;
    private static final double SECOND_NS = 1e9;
    private LocalMesh mesh;

    @BeforeMethod
    public void start() throws Exception {
        mesh = LocalMesh.start(GRACE_S, (talk, request) -> false);
        mesh.replace(1, LocalMesh.configuration(1, LONG_S));
        mesh.serves();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    private LocalMesh.Sent underWay(String first) throws Exception {
        // Refused where the sidecars were just about to begin: a client comes back.
        LocalMesh.Sent[] sent = {mesh.send(first, 10)};
        MeshRig.await(first + " is at its endpoint", () -> {
            if (sent[0].answer().isDone()) {
                assertEquals(sent[0].get().status(), 503);
                sent[0] = mesh.send(first, 10);
            }
            return mesh.app.runs(sent[0].id()) == 1;
        });
        return sent[0];
    }

    // A busy machine may refuse what its configuration allows; what that doesn't allow has no route.
    private void inForce(String first) throws Exception {
        MeshRig.await(first + " has a route", () -> mesh.ask(first).status() != 404);
    }

    @Test
    public void configurationsLeaveWhatIsUnderWayAsItWasTaken() throws Exception {
        LocalMesh.Sent once = underWay("POST /b" + StandInApp.SLOW);
        LocalMesh.Sent repeatable = underWay("GET /a" + StandInApp.SLOW);
        mesh.replace(2, LocalMesh.configuration(2, SHORT_S).replace("/a/", "/new/"));
        inForce("GET /new/x");
        long began = System.nanoTime();
        MeshRig.await(
                "the shorter time is up",
                () -> mesh.ask("GET /new/x") != null && System.nanoTime() - began > 2 * SHORT_S * SECOND_NS);
        mesh.replace(3, LocalMesh.configuration(3, LONG_S).replace("/a/", "/c/").replace("/b/", "/d/"));
        inForce("GET /c/x");
        assertEquals(mesh.ask("GET /new/x").status(), 404, "the route is dropped");
        mesh.replace(
                4,
                LocalMesh.configuration(4, LONG_S)
                        .replace("\"svc\"", "\"moved\"")
                        .replace("/a/", "/m/"));
        inForce("GET /m/x");
        for (LocalMesh.Sent sent : new LocalMesh.Sent[] {once, repeatable}) {
            assertFalse(sent.answer().isDone(), sent + " " + sent.answer().getNow(null));
        }
        mesh.app.release();
        assertEquals(once.get().status(), 200);
        assertEquals(repeatable.get().status(), 200);
        assertEquals(mesh.app.runs(once.id()), 1);
    }

    @Test
    public void afterSigtermWhatWasReadIsAnsweredAndNothingMoreIsBegunInTheSecondHalf() throws Exception {
        LocalMesh.Sent slow = underWay("POST /b" + StandInApp.SLOW);
        long began = System.nanoTime();
        CompletableFuture<Void> ended = mesh.stop();
        MeshRig.await("it tells that it leaves", () -> !mesh.ready());
        LocalMesh.Sent[] refused = new LocalMesh.Sent[1];
        MeshRig.await("requests are refused", () -> {
            refused[0] = mesh.send("POST /b/x", 10);
            Talk.Message answer = refused[0].get();
            if (answer == null) {
                // Only a connection whose request was not read may end so.
                assertEquals(mesh.app.runs(refused[0].id()), 0);
                return false;
            }
            return answer.status() == 503 && System.nanoTime() - began > GRACE_S * SECOND_NS / 2;
        });
        assertNotNull(refused[0].get().headers().get("retry-after"));
        assertEquals(mesh.app.runs(refused[0].id()), 0);
        // Its endpoint never answers: before the kill it is told what can be said, and not cut off.
        Talk.Message answer = slow.get();
        assertEquals(answer.status(), 502);
        assertEquals(answer.headers().get("connection"), "close");
        ended.get(GRACE_S, TimeUnit.SECONDS);
        assertTrue(System.nanoTime() - began < GRACE_S * SECOND_NS, "before the kill");
    }

    @Test
    public void afterSigtermItEndsAsSoonAsItsConnectionsHave() throws Exception {
        try (Talk idle = new Talk(mesh.settings.egress(0))) {
            LocalMesh.Sent slow = underWay("POST /b" + StandInApp.SLOW);
            CompletableFuture<Void> ended = mesh.stop();
            MeshRig.await("it tells that it leaves", () -> !mesh.ready());
            Map<String, String> headers = Map.of("Host", "post.example", "Attempt-Id", "a-idle", "Api-Key", "key-1");
            assertNotNull(idle.ask("GET /a/x", headers, new byte[0]), "connections are kept for a while");
            assertEquals(idle.hear(), null, "and then closed between two requests");
            mesh.app.release();
            assertEquals(slow.get().status(), 200);
            ended.get(GRACE_S, TimeUnit.SECONDS);
        }
    }
}
