package whinlead.mesh;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
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
    /** A field that only the endpoint's own responses have. */
    private static final String MARK = "x-endpoint";

    /** Ends the names of responses behind which the endpoint closes the connection. */
    private static final String CLOSE = "-close";

    private static final String LENGTH = "Content-Length: 5";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String CHUNKS = "5\r\nhello\r\n0\r\n";

    /** Malformed responses by the name in the request's path; ID stands for the attempt id. */
    private static final Map<String, String> MALFORMED = new LinkedHashMap<>();
    /** Odd responses that are valid, by name; each has the status that its name begins with. */
    private static final Map<String, String> VALID = new LinkedHashMap<>();

    static {
        MALFORMED.put("status-000", withStatus("000 Trouble"));
        MALFORMED.put("status-0", withStatus("0 Trouble"));
        MALFORMED.put("status-99", withStatus("99 Trouble"));
        MALFORMED.put("status-099", withStatus("099 Trouble"));
        MALFORMED.put("status-600", withStatus("600 Trouble"));
        MALFORMED.put("status-999", withStatus("999 Trouble"));
        MALFORMED.put("status-1000", withStatus("1000 Trouble"));
        MALFORMED.put("status-0200", withStatus("0200 OK"));
        MALFORMED.put("status-plus200", withStatus("+200 OK"));
        MALFORMED.put("control-in-reason", withStatus("200 O\u0001K"));
        MALFORMED.put("null-in-reason", withStatus("200 O\0K"));
        MALFORMED.put("return-in-reason", withStatus("200 O\rK"));
        MALFORMED.put("upgrade", upgradedTo("other"));
        MALFORMED.put("upgrade-to-websocket", upgradedTo("websocket"));
        MALFORMED.put("no-status", withStatus("OK"));
        MALFORMED.put("version-2", withVersion("HTTP/2.0"));
        MALFORMED.put("version-0", withVersion("HTTP/0.9"));
        MALFORMED.put("version-in-lower-case", withVersion("http/1.1"));
        MALFORMED.put("other-protocol", withVersion("ICY"));
        MALFORMED.put("control-in-value", withField("X-Odd: v\u0001"));
        MALFORMED.put("null-in-value", withField("X-Odd: v\0v"));
        MALFORMED.put("return-in-value", withField("X-Odd: v\rv"));
        MALFORMED.put("delete-in-value", withField("X-Odd: v\u007f"));
        MALFORMED.put("control-before-value", withField("X-Odd: \u000bv"));
        MALFORMED.put("control-behind-value", withField("X-Odd: v\u001c"));
        MALFORMED.put("control-before-folded-value", withField("X-Odd: v\r\n \u0001v"));
        MALFORMED.put("control-behind-folded-value", withField("X-Odd: v\r\n v\u001c"));
        MALFORMED.put("line-feed-alone", withField("X-Odd: v\nX-Other: v"));
        MALFORMED.put("blank-in-name", withField("X-Odd Name: v"));
        MALFORMED.put("tab-in-name", withField("X-Odd\tName: v"));
        MALFORMED.put("blank-before-colon", withField("X-Odd : v"));
        MALFORMED.put("tab-before-colon", withField("X-Odd\t: v"));
        MALFORMED.put("blank-before-first-name", withField(" X-Odd: v"));
        MALFORMED.put("control-in-name", withField("X-Odd\u0001Name: v"));
        MALFORMED.put("null-in-name", withField("X-Odd\0: v"));
        MALFORMED.put("delete-in-name", withField("X-Odd\u007f: v"));
        MALFORMED.put("control-before-name", withField("\u000bX-Odd: v"));
        MALFORMED.put("name-beyond-ascii", withField("X-Odd\u00e9: v"));
        MALFORMED.put("empty-name", withField(": v"));
        MALFORMED.put("no-colon", withField("X-Odd"));
        MALFORMED.put("length-before-blank-and-word", withFraming("Content-Length x: 3", BODY));
        MALFORMED.put("length-before-blank", withFraming("Content-Length : 3", BODY));
        MALFORMED.put("coding-before-blank-and-word", withFraming("Transfer-Encoding x: chunked", CHUNKS + "\r\n"));
        MALFORMED.put("lengths-differ", withFraming("Content-Length: 3\r\n" + LENGTH, BODY));
        MALFORMED.put("lengths-differ-1.0", response("HTTP/1.0 200 OK", "Content-Length: 3\r\n", LENGTH, BODY));
        MALFORMED.put("coding-1.0", response("HTTP/1.0 200 OK", "", CHUNKED, CHUNKS + "\r\n"));
        MALFORMED.put("lengths-differ-in-list", withFraming("Content-Length: 5, 3", BODY));
        MALFORMED.put("length-signed", withFraming("Content-Length: +5", BODY));
        MALFORMED.put("length-negative", withFraming("Content-Length: -5", BODY));
        MALFORMED.put("length-no-number", withFraming("Content-Length: five", BODY));
        MALFORMED.put("length-empty", withFraming("Content-Length:", BODY));
        MALFORMED.put("length-beside-coding", withFraming(LENGTH + "\r\n" + CHUNKED, CHUNKS + "\r\n"));
        MALFORMED.put("coding-unknown", withFraming("Transfer-Encoding: gzip", BODY));
        MALFORMED.put("coding-before-chunked", withFraming("Transfer-Encoding: gzip, chunked", CHUNKS + "\r\n"));
        MALFORMED.put("coding-twice", withFraming(CHUNKED + "\r\n" + CHUNKED, CHUNKS + "\r\n"));
        MALFORMED.put("chunk-size-no-number", withFraming(CHUNKED, "five\r\nhello\r\n0\r\n\r\n"));
        MALFORMED.put("chunk-size-with-blank", withFraming(CHUNKED, "5 0\r\nhello\r\n0\r\n\r\n"));
        MALFORMED.put("chunk-longer-than-its-size", withFraming(CHUNKED, "3\r\nhello\r\n0\r\n\r\n"));
        MALFORMED.put("control-in-trailer-name", withFraming(CHUNKED, CHUNKS + "X-Odd\u0001: v\r\n\r\n"));
        MALFORMED.put("blank-in-trailer-name", withFraming(CHUNKED, CHUNKS + "X-Odd Name: v\r\n\r\n"));
        VALID.put("299", withStatus("299 Odd"));
        VALID.put("200-after-100", "HTTP/1.1 100 Continue\r\n\r\n" + withStatus("200 OK"));
        VALID.put("200-after-103", "HTTP/1.1 103 Early Hints\r\nX-Odd: v\r\n\r\n" + withStatus("200 OK"));
        VALID.put("404", withStatus("404"));
        VALID.put("599", withStatus("599 Odd"));
        VALID.put("200-empty-reason", withStatus("200 "));
        VALID.put("200-odd-name", withField("x-oDD!#$%&'*+-.^_`|~0:v"));
        VALID.put("200-blanks-round-value", withField("X-Odd: \t v\tv \t"));
        VALID.put("200-value-beyond-ascii", withField("X-Odd: \u00e9"));
        VALID.put("200-empty-value", withField("X-Odd:"));
        VALID.put("200-version-1.0", withVersion("HTTP/1.0"));
        VALID.put("200-no-length" + CLOSE, withFraming("X-Odd: v", BODY));
        VALID.put("200-chunked-in-capitals", withFraming("Transfer-Encoding: CHUNKED", CHUNKS + "\r\n"));
        VALID.put("200-folded", withField("X-Odd: v\r\n  w"));
        VALID.put("200-trailer", withFraming(CHUNKED, CHUNKS + "X-Odd: v\r\n\r\n"));
    }

    private LocalMesh mesh;

    private static String withStatus(String statusAndReason) {
        return response("HTTP/1.1 " + statusAndReason, "", LENGTH, BODY);
    }

    // With a valid response in the new protocol behind it.
    private static String upgradedTo(String protocol) {
        return "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: ID\r\nConnection: upgrade\r\nUpgrade: " + protocol
                + "\r\n\r\n" + withStatus("200 OK");
    }

    private static String withVersion(String version) {
        return response(version + " 200 OK", "", LENGTH, BODY);
    }

    private static String withField(String field) {
        return response("HTTP/1.1 200 OK", field + "\r\n", LENGTH, BODY);
    }

    private static String withFraming(String field, String bodyAsSent) {
        return response("HTTP/1.1 200 OK", "", field, bodyAsSent);
    }

    private static String response(String statusLine, String firstFields, String framing, String bodyAsSent) {
        return statusLine + "\r\n" + firstFields + "Attempt-Id: ID\r\nServer-Seal: s\r\n" + MARK + ": m\r\n" + framing
                + "\r\n\r\n" + bodyAsSent;
    }

    // Sends the response that the path names; the stand-in itself answers the rest.
    private static boolean answered(Talk talk, Talk.Message request) throws IOException {
        String path = request.first().split(" ")[1];
        String name = path.substring(path.lastIndexOf('/') + 1);
        String response = MALFORMED.getOrDefault(name, VALID.get(name));
        if (response == null) {
            return false;
        }
        String attemptId = request.headers().get("attempt-id");
        talk.raw(response.replace("ID", attemptId).getBytes(StandardCharsets.ISO_8859_1));
        if (name.endsWith(CLOSE)) {
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
        return MALFORMED.keySet().toArray();
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
        return VALID.keySet().toArray();
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
