package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
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
    private static final String MARK = "x-endpoint";

    /** The responses by the last part of the request's path; ID stands for the attempt id. */
    private static final Map<String, String> RESPONSES = Map.ofEntries(
            status("000", "000 Trouble"),
            status("0", "0 Trouble"),
            status("99", "99 Trouble"),
            status("099", "099 Trouble"),
            status("600", "600 Trouble"),
            status("999", "999 Trouble"),
            status("1000", "1000 Trouble"),
            status("0200", "0200 OK"),
            status("plus200", "+200 OK"),
            status("299", "299 Odd"),
            status("404", "404"),
            status("599", "599 Odd"),
            status("noReason", "200 "));

    private LocalMesh mesh;

    private static Map.Entry<String, String> status(String path, String statusAndReason) {
        return Map.entry(path, response("HTTP/1.1 " + statusAndReason, "", "Content-Length: 5\r\n", BODY));
    }

    private static String response(String statusLine, String fields, String framing, String body) {
        return statusLine + "\r\nAttempt-Id: ID\r\nServer-Seal: s\r\n" + MARK + ": m\r\n" + fields + framing + "\r\n"
                + body;
    }

    // Answers what the table has for the path; the stand-in itself answers the rest.
    private static boolean answered(Talk talk, Talk.Message request) throws IOException {
        String path = request.first().split(" ")[1];
        String response = RESPONSES.get(path.substring(path.lastIndexOf('/') + 1));
        if (response == null) {
            return false;
        }
        String attemptId = request.headers().get("attempt-id");
        talk.raw(response.replace("ID", attemptId).getBytes(StandardCharsets.ISO_8859_1));
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
        return new Object[] {"000", "0", "99", "099", "600", "999", "1000", "0200", "plus200"};
    }

    @Test(dataProvider = "malformed")
    public void nothingOfAMalformedResponseReachesTheClient(String path) throws Exception {
        LocalMesh.Sent order = orderThatRuns(path);
        Talk.Message answer = order.get();
        assertEquals(answer.status(), 502);
        assertEquals(answer.text(), "");
        assertFalse(answer.headers().containsKey(MARK));
        assertEquals(mesh.app.runs(order.id()), 1);
        assertEquals(orderThatRuns("x").get().text(), "from i-1");
    }

    @DataProvider
    public Object[][] valid() {
        return new Object[][] {{"299", 299}, {"404", 404}, {"599", 599}, {"noReason", 200}};
    }

    @Test(dataProvider = "valid")
    public void oddButValidResponseReachesTheClient(String path, int status) throws Exception {
        LocalMesh.Sent order = orderThatRuns(path);
        Talk.Message answer = order.get();
        assertEquals(answer.status(), status);
        assertEquals(answer.text(), BODY);
        assertEquals(mesh.app.runs(order.id()), 1);
    }
}
