package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Talk;

/**
 * Incidents SHORT of issue 56, and CONFIG of issue 59: of a service that is divided by key nothing was served, neither
 * on its first routes nor on those that were added.
 *
 * <p>How it came about: endpoints of such a service start without keys and answer 421 until they are granted some.
 * Cause: nobody granted keys. Proof: an endpoint that keeps to the published protocol serves here once it is granted
 * keys, and answered 421 to all before keys were leased.
 */
public class DividedServiceTest {
    private static final int MAX_KEY = 65_535;
    private static final long MAX_HOLD_S = 10;

    /** A call that hands keys to the endpoint or takes them back. */
    private record KeyCall(boolean grant, int from, int to, long fence, double holdS) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final List<KeyCall> calls = new CopyOnWriteArrayList<>();
    private LocalMesh mesh;

    @BeforeClass
    public void start() throws Exception {
        mesh = LocalMesh.start(6, this::answered);
        String whole = LocalMesh.configuration(1, 2);
        mesh.replace(1, whole.replace("\"MaxConns\":110", "\"MaxConns\":110,\"Partitioned\":true,\"WarmS\":5.0"));
        MeshRig.await("the sidecar is ready", mesh::ready);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    // By the published protocol; it runs a request only if its key was granted and not released.
    private boolean answered(Talk talk, Talk.Message request) throws IOException {
        if (request.first().startsWith("POST /whinlead/")) {
            JsonNode body = mapper.readTree(request.body());
            boolean grant = request.first().contains("grant");
            double holdS = grant ? body.get("HoldS").doubleValue() : 0;
            int from = body.get("Source").intValue();
            int to = body.get("TargetVersion").intValue();
            calls.add(new KeyCall(grant, from, to, body.get("fence").longValue(), holdS));
            talk.say("HTTP/1.1 200 OK", grant ? Map.of() : Map.of("Handoff", "5c0e7a21"), new byte[0]);
            return true;
        }
        int key = Integer.parseInt(request.headers().get("shard-key"));
        if (owns(key)) {
            return false;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Attempt-Id", request.headers().get("attempt-id"));
        headers.put("Not-Executed", "1");
        talk.say("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
        return true;
    }

    private boolean owns(int key) {
        boolean owns = false;
        for (KeyCall call : calls) {
            owns = call.from() <= key && key <= call.to() ? call.grant() : owns;
        }
        return owns;
    }

    private Talk.Message ask(int key) throws Exception {
        return mesh.send("GET /a/x", 0, Map.of("Shard-Key", Integer.toString(key)))
                .get();
    }

    @Test
    public void requestsOfEachKeyAreServed() throws Exception {
        for (int key : new int[] {0, 1, 4096, MAX_KEY}) {
            MeshRig.await("key " + key + " is served", () -> ask(key).status() == 200);
        }
    }

    @Test(dependsOnMethods = "requestsOfEachKeyAreServed")
    public void grantsAreRenewedUnderTheirFenceBeforeTheyEnd() throws Exception {
        KeyCall first = calls.get(0);
        MeshRig.await(
                "it is granted again",
                () -> calls.stream()
                                .filter(each -> each.grant() && each.fence() == first.fence())
                                .count()
                        >= 3);
        assertTrue(calls.stream().allMatch(each -> each.fence() > 0 && each.holdS() <= MAX_HOLD_S));
        assertEquals(ask(7).status(), 200);
    }

    @Test(dependsOnMethods = "requestsOfEachKeyAreServed")
    public void aRequestWithoutAKeyIsRefused() throws Exception {
        assertEquals(mesh.ask("GET /a/x").status(), 400);
        assertEquals(
                mesh.send("GET /a/x", 0, Map.of("Shard-Key", "70000")).get().status(), 400);
    }

    @Test(dependsOnMethods = {"grantsAreRenewedUnderTheirFenceBeforeTheyEnd", "aRequestWithoutAKeyIsRefused"})
    public void anEndpointThatHasLeftIsSentNothingMore() throws Exception {
        assertEquals(mesh.app.depart(), 200);
        MeshRig.await("it is refused", () -> ask(7).status() == 503);
    }
}
