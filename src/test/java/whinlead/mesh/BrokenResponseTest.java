package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.http.SampleResponses;
import whinlead.testbed.mesh.Talk;

/**
 * An endpoint whose responses are malformed, or odd but valid. Of a malformed one nothing reaches the client, whose
 * order may have run and is not sent again. Once, a response with the status 000 was passed on.
 */
public class BrokenResponseTest {
    private static final int GRACE_S = 3;
    private static final double DEADLINE_S = 30;
    private static final int BODY_BYTES = 10;
    private static final String BODY = "hello";
    /** A field that only the endpoint's own responses have. */
    private static final String MARK = "x-endpoint";

    /** Gives the names only; what is sent has the attempt id of its request. */
    private static final SampleResponses NAMES = new SampleResponses("", BODY);

    private LocalMesh mesh;

    // Sends the response that the path names; the stand-in itself answers the rest.
    private static boolean answered(Talk talk, Talk.Message request) throws IOException {
        String path = request.first().split(" ")[1];
        String name = path.substring(path.lastIndexOf('/') + 1);
        SampleResponses responses = new SampleResponses(
                "Attempt-Id: " + request.headers().get("attempt-id") + "\r\nServer-Seal: s\r\n" + MARK + ": m\r\n",
                BODY);
        String response =
                responses.malformed().getOrDefault(name, responses.valid().get(name));
        if (response == null) {
            return false;
        }
        talk.raw(SampleResponses.bytes(response));
        if (name.endsWith(SampleResponses.CLOSE)) {
            throw new IOException("closed behind the response");
        }
        return true;
    }

    @BeforeClass
    public void start() throws Exception {
        mesh = LocalMesh.start(GRACE_S, BrokenResponseTest::answered);
        mesh.replace(1, LocalMesh.configuration(1, DEADLINE_S));
        mesh.serves();
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        mesh.close();
    }

    // Orders that the sidecars refuse, because the endpoint served badly before, are sent anew.
    private LocalMesh.Sent orderThatRuns(String path) throws Exception {
        LocalMesh.Sent[] order = {null};
        MeshRig.await("an order reaches the endpoint", () -> {
            order[0] = mesh.send("POST /b/" + path, BODY_BYTES);
            return order[0].get().status() != 503;
        });
        return order[0];
    }

    @DataProvider
    public Object[] malformed() {
        return NAMES.malformed().keySet().toArray();
    }

    @Test(dataProvider = "malformed")
    public void nothingOfAMalformedResponseReachesTheClient(String name) throws Exception {
        LocalMesh.Sent order = orderThatRuns(name);
        Talk.Message answer = order.get();
        assertEquals(answer.status(), 502, name);
        assertEquals(answer.text(), "", name);
        assertFalse(answer.headers().containsKey(MARK), name);
        assertEquals(mesh.app.runs(order.id()), 1, name);
        assertEquals(orderThatRuns("x").get().text(), "from i-1", name);
    }

    @DataProvider
    public Object[] valid() {
        return NAMES.valid().keySet().toArray();
    }

    @Test(dataProvider = "valid")
    public void oddButValidResponseReachesTheClient(String name) throws Exception {
        LocalMesh.Sent order = orderThatRuns(name);
        Talk.Message answer = order.get();
        assertEquals(answer.status(), Integer.parseInt(name.substring(0, 3)), name);
        assertEquals(answer.text(), BODY, name);
        assertEquals(answer.headers().get(MARK), "m", name);
        assertEquals(mesh.app.runs(order.id()), 1, name);
    }

    @Test
    public void foldedValueReachesTheClientOnOneLine() throws Exception {
        assertEquals(orderThatRuns("200-folded").get().headers().get("x-odd"), "v w");
    }
}
