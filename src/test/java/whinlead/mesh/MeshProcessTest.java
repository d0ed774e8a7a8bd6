package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.LocalMeshRun;
import whinlead.testbed.mesh.StandInApp;
import whinlead.testbed.mesh.Talk;

/** The mesh as processes on loopback, among stand-in endpoints: what clients, endpoints and operators see. */
public class MeshProcessTest {
    private static final String FIRST =
            LocalMeshRun.config("00000001", "svc").replace("\"DeadlineS\":2", "\"DeadlineS\":20");
    /** Far less than what the requests have left, and enough for a busy machine. */
    private static final double ENDED_MS = 3000;

    private static final long ARRIVES_NS = 500_000_000;
    private MeshRig mesh;

    @BeforeClass
    public void start() throws Exception {
        mesh = new MeshRig(3);
        MeshRig.await(
                "a control node takes the first configuration",
                () -> mesh.replace(0, "0", FIRST).status() == 200);
        for (int i = 0; i < 3; i++) {
            int controlNode = i;
            // Two are enough for the first configuration; the third may still be starting.
            MeshRig.await(
                    "control node " + i + " answers",
                    () -> mesh.read(controlNode).status() == 200);
        }
        for (int i = 0; i < 3; i++) {
            int sidecar = i;
            MeshRig.await("sidecar " + i + " is ready", () -> mesh.ready(sidecar));
            MeshRig.await(
                    "sidecar " + i + " serves",
                    () -> mesh.get(sidecar, "/a/first").status() == 200);
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    @Test
    public void operatorsGetClearAnswers() throws Exception {
        assertEquals(mesh.replace(1, "0", FIRST).status(), 200, "repeated to another control node");
        assertEquals(mesh.replace(2, "0", FIRST.replace("00000001", "00000002")).status(), 412);
        Talk.Message old = mesh.replace(0, "00000001", FIRST.replace("\"Rank\":1", "\"Rank\":2"));
        assertEquals(old.status(), 400);
        assertTrue(old.text().contains("Epoch"), old.text());
        Talk.Message bad = mesh.replace(
                0, "00000001", FIRST.replace("00000001", "00000009").replace("mutating", "odd"));
        assertEquals(bad.status(), 400);
        assertTrue(bad.text().contains("kind"), bad.text());
        assertEquals(mesh.replace(0, "x", FIRST).status(), 400);
        for (int controlNode = 0; controlNode < 3; controlNode++) {
            assertEquals(mesh.read(controlNode).text(), FIRST, "nothing was changed");
        }
    }

    @Test
    public void requestsReachAnEndpointAsTheyWereSent() throws Exception {
        Map<String, String> headers = mesh.headers();
        headers.put("Tenant", "forged");
        headers.put("Caller-Service", "forged");
        headers.put("X-Own", "kept");
        byte[] body = "a body".getBytes(StandardCharsets.UTF_8);
        Talk.Message answer = Talk.ask(mesh.settings.egress(0), "POST /b/x?q=1%202", headers, body);
        assertEquals(answer.status(), 200);
        assertNotNull(answer.headers().get("server-seal"));
        assertEquals(answer.headers().get("attempt-id"), headers.get("Attempt-Id"));
        Talk.Message ran = mesh.apps.stream()
                .flatMap(a -> a.ran().stream())
                .filter(m -> headers.get("Attempt-Id").equals(m.headers().get("attempt-id")))
                .findFirst()
                .orElseThrow();
        assertEquals(ran.first(), "POST /b/x?q=1%202 HTTP/1.1");
        assertEquals(ran.text(), "a body");
        assertEquals(ran.headers().get("tenant"), "t-1");
        assertEquals(ran.headers().get("caller-service"), "svc");
        assertEquals(ran.headers().get("x-own"), "kept");
        assertFalse(ran.headers().containsKey("api-key"));
        assertTrue(Integer.parseInt(ran.headers().get("deadline-ms")) <= 20_000);
    }

    @Test
    public void whatIsNotAllowedIsTurnedAwayAndNotRun() throws Exception {
        int before = mesh.ran();
        assertEquals(mesh.get(0, "/none/").status(), 404);
        Map<String, String> stranger = mesh.headers();
        stranger.put("Api-Key", "no-one's");
        assertEquals(
                Talk.ask(mesh.settings.egress(0), "GET /a/x", stranger, new byte[0])
                        .status(),
                401);
        Map<String, String> odd = mesh.headers();
        odd.put("Deadline-Ms", "soon");
        assertEquals(
                Talk.ask(mesh.settings.egress(0), "GET /a/x", odd, new byte[0]).status(), 400);
        Map<String, String> large = mesh.headers();
        large.put("X-Large", "x".repeat(20_000));
        assertEquals(
                Talk.ask(mesh.settings.egress(0), "GET /a/x", large, new byte[0])
                        .status(),
                431);
        // One request may hide in another where both framings are told.
        try (Talk talk = new Talk(mesh.settings.egress(0))) {
            String hidden = "GET /a/hidden HTTP/1.1\r\nHost: post.example\r\nAttempt-Id: h\r\n\r\n";
            talk.raw(("POST /b/x HTTP/1.1\r\nHost: post.example\r\nAttempt-Id: s\r\nApi-Key: key-1\r\n"
                            + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden)
                    .getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(talk.hear().status(), 400);
        }
        assertEquals(mesh.ran(), before);
    }

    @Test
    public void answersComeInTheOrderOfTheRequests() throws Exception {
        // A burst may be refused in part; then all are sent again. The order holds each time.
        MeshRig.await("ten in a row are served", () -> {
            int served = 0;
            try (Talk talk = new Talk(mesh.settings.egress(1))) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 10; i++) {
                    all.append("GET /a/p HTTP/1.1\r\nHost: post.example\r\nAttempt-Id: p-")
                            .append(i)
                            .append("\r\nDeadline-Ms: 20000\r\nApi-Key: key-1\r\n\r\n");
                }
                talk.raw(all.toString().getBytes(StandardCharsets.ISO_8859_1));
                for (int i = 0; i < 10; i++) {
                    Talk.Message answer = talk.hear();
                    if (answer.status() == 200) {
                        served++;
                        assertEquals(answer.headers().get("attempt-id"), "p-" + i);
                    } else {
                        assertEquals(answer.status(), 503);
                        assertNotNull(answer.headers().get("retry-after"));
                    }
                }
            }
            return served == 10;
        });
    }

    @Test(dependsOnMethods = "answersComeInTheOrderOfTheRequests")
    public void whatRunsForAClientThatLeavesIsEndedWhereItMayBeRepeated() throws Exception {
        Map<String, Talk> repeatable = new LinkedHashMap<>();
        for (int i = 0; i < 6; i++) {
            runsEndlessly("GET /a", repeatable);
        }
        Map<String, Talk> once = new LinkedHashMap<>();
        runsEndlessly("POST /b", once);
        for (Talk talk : once.values()) {
            talk.close();
        }
        long closed = System.nanoTime();
        for (Talk talk : repeatable.values()) {
            talk.close();
        }
        MeshRig.await("the endpoints are told", () -> cancelled().containsAll(repeatable.keySet()));
        double took = (System.nanoTime() - closed) / 1e6;
        System.out.printf("ended at the endpoints %.0f ms after their clients left%n", took);
        assertTrue(took < ENDED_MS, "after " + took + " ms");
        assertFalse(cancelled().containsAll(once.keySet()), "what runs once at most is not broken off");
    }

    // One that is refused, as may happen after a burst, is sent again.
    private void runsEndlessly(String route, Map<String, Talk> clients) throws Exception {
        MeshRig.await("it is at an endpoint", () -> {
            Map<String, String> headers = mesh.headers();
            String id = headers.get("Attempt-Id");
            Talk talk = new Talk(mesh.settings.egress(0));
            talk.say(route + StandInApp.ENDLESS + " HTTP/1.1", headers, new byte[0]);
            long end = System.nanoTime() + ARRIVES_NS;
            while (System.nanoTime() < end) {
                if (mesh.apps.stream().anyMatch(a -> a.runs(id) > 0)) {
                    clients.put(id, talk);
                    return true;
                }
            }
            talk.close();
            return false;
        });
    }

    private List<String> cancelled() {
        return mesh.apps.stream().flatMap(a -> a.cancelled().stream()).toList();
    }

    @Test(
            dependsOnMethods = {
                "operatorsGetClearAnswers",
                "requestsReachAnEndpointAsTheyWereSent",
                "whatIsNotAllowedIsTurnedAwayAndNotRun",
                "whatRunsForAClientThatLeavesIsEndedWhereItMayBeRepeated"
            })
    public void aControlNodeLostTakesNothingWithIt() throws Exception {
        mesh.controlNodes.get(0).destroyForcibly().waitFor();
        String second = FIRST.replace("00000001", "00000004").replace("/a/", "/c/");
        MeshRig.await(
                "two control nodes take a configuration",
                () -> mesh.replace(1, "00000001", second).status() == 200);
        for (int i = 0; i < 3; i++) {
            int sidecar = i;
            MeshRig.await(
                    "sidecar " + i + " has it", () -> mesh.get(sidecar, "/c/x").status() == 200);
            assertEquals(mesh.get(sidecar, "/a/x").status(), 404);
        }
        mesh.controlNodes.set(0, mesh.controlNode(0, true));
        MeshRig.await("the lost one has it too", () -> mesh.read(0).text().equals(second));
    }

    @Test(dependsOnMethods = "aControlNodeLostTakesNothingWithIt")
    public void oneThatDrainsIsSentNothingMore() throws Exception {
        StandInApp app = mesh.apps.get(2);
        assertEquals(app.depart(), 200);
        MeshRig.await("all but one serve", () -> {
            int before = app.ran().size();
            for (int i = 0; i < 20; i++) {
                mesh.get(i % 3, "/c/x");
            }
            return app.ran().size() == before;
        });
        int before = app.ran().size();
        for (int i = 0; i < 100; i++) {
            assertEquals(mesh.get(i % 3, "/c/x").status(), 200);
        }
        assertEquals(app.ran().size(), before);
    }

    @Test(dependsOnMethods = "aControlNodeLostTakesNothingWithIt", priority = 1)
    public void aSidecarThatIsStoppedEndsWhatItHolds() throws Exception {
        CompletableFuture<Talk.Message> slow = CompletableFuture.supplyAsync(() -> {
            try (Talk talk = new Talk(mesh.settings.egress(2))) {
                return talk.ask("GET /c" + StandInApp.SLOW, mesh.headers(), new byte[0]);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        MeshRig.await(
                "it is at an endpoint",
                () -> mesh.apps.stream()
                        .flatMap(a -> a.ran().stream())
                        .anyMatch(m -> m.first().contains(StandInApp.SLOW)));
        mesh.sidecars.get(2).destroy();
        MeshRig.await("it tells that it leaves", () -> !mesh.ready(2));
        mesh.apps.forEach(StandInApp::release);
        assertEquals(slow.get(20, TimeUnit.SECONDS).status(), 200);
        assertTrue(mesh.sidecars.get(2).waitFor(20, TimeUnit.SECONDS), "and ends");
        assertEquals(mesh.get(0, "/c/x").status(), 200);
    }
}
