package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.plan.Calendar;

/** Connections to the endpoint, byte by byte: the result of each request, and which request a response belongs to. */
public class EndpointConnectionsTest {
    private static final int TIMEOUT_MS = 1000;

    private Calendar calendar;
    private List<EmbeddedChannel> connections;
    private List<ChannelPromise> connectPromises;
    private boolean connectsAtOnce;
    private EndpointConnections endpointConnections;
    private List<String> results;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        connections = new ArrayList<>();
        connectPromises = new ArrayList<>();
        connectsAtOnce = true;
        results = new ArrayList<>();
        endpointConnections = new EndpointConnections(calendar, this::connect);
    }

    private ChannelPromise connect(ChannelHandler handlers) {
        EmbeddedChannel channel = new EmbeddedChannel(handlers);
        connections.add(channel);
        ChannelPromise promise = channel.newPromise();
        connectPromises.add(promise);
        if (connectsAtOnce) {
            promise.setSuccess();
        }
        return promise;
    }

    private EndpointConnections.SentRequest send(String id) {
        return send(id, "POST");
    }

    private EndpointConnections.SentRequest send(String id, String method) {
        PeerMessage.ForwardRequest request = new PeerMessage.ForwardRequest(
                1, method, "/x", List.of("Host", "h", "Attempt-Id", id), new byte[0], TIMEOUT_MS, "svc", "i-1", 0);
        return endpointConnections.send(
                request,
                "i-1",
                message -> results.add(id + " "
                        + (message instanceof PeerMessage.ForwardResponse response
                                ? response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII)
                                : ((PeerMessage.ForwardFailure) message).reason())));
    }

    private void receive(int connection, String text) {
        connections.get(connection).writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String sentText(int connection) {
        StringBuilder text = new StringBuilder();
        EmbeddedChannel channel = connections.get(connection);
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
        return text.toString();
    }

    private int sentRequestCount() {
        int count = 0;
        for (int i = 0; i < connections.size(); i++) {
            count += sentText(i).split("Attempt-Id", -1).length - 1;
        }
        return count;
    }

    private static String response(String status, String attemptId, String body, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + (attemptId.isEmpty() ? "" : "Attempt-Id: " + attemptId + "\r\n")
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String successResponse(String attemptId) {
        return response("200 OK", attemptId, "of " + attemptId, "Server-Seal: s\r\n");
    }

    private static String notExecutedResponse(String attemptId) {
        return response("503 Full", attemptId, "", "Not-Executed: 1\r\n");
    }

    @Test
    public void lateResponseIsNotTakenForTheNextRequest() {
        send("a");
        receive(0, successResponse("a"));
        String surplus = successResponse("a");
        for (int cut = 0; cut <= surplus.length(); cut += 7) {
            results.clear();
            String attemptId = "b" + cut;
            receive(0, surplus.substring(0, cut));
            send(attemptId);
            receive(0, surplus.substring(cut));
            assertEquals(results, List.of());
            receive(0, successResponse(attemptId));
            assertEquals(results, List.of(attemptId + " 200 of " + attemptId), "surplus cut at " + cut);
        }
        assertEquals(connections.size(), 1);
    }

    @Test
    public void surplusResponsesInOneReadAreIgnored() {
        send("a");
        receive(0, successResponse("a") + successResponse("a") + successResponse("z"));
        send("b");
        receive(0, notExecutedResponse("a") + successResponse("b") + notExecutedResponse("b"));
        assertEquals(results, List.of("a 200 of a", "b 200 of b"));
        assertEquals(sentRequestCount(), 2);
    }

    @Test
    public void repeatedAttemptIdUsesAnotherConnection() {
        send("a");
        receive(0, notExecutedResponse("a"));
        send("a");
        // The endpoint is working on the second request; another response to the first does not belong to it.
        receive(0, notExecutedResponse("a"));
        assertEquals(results, List.of("a TURNED_AWAY"));
        assertEquals(connections.size(), 2);
        receive(1, successResponse("a"));
        assertEquals(results, List.of("a TURNED_AWAY", "a 200 of a"));
        send("b");
        send("c");
        assertEquals(connections.size(), 2, "both connections are reused for other ids");
    }

    @Test
    public void invalidRequestFailsWithoutBeingWritten() {
        send("a");
        receive(0, successResponse("a"));
        results.clear();
        endpointConnections.send(
                new PeerMessage.ForwardRequest(
                        2, "NO METHOD", "/x", List.of("Attempt-Id", "b"), new byte[0], TIMEOUT_MS, "svc", "i-1", 0),
                "i-1",
                message -> results.add("b " + ((PeerMessage.ForwardFailure) message).reason()));
        assertEquals(results, List.of("b UNREACHED"));
        send("c");
        receive(1, successResponse("c"));
        assertEquals(results, List.of("b UNREACHED", "c 200 of c"), "other requests are not affected");
    }

    @Test
    public void responseWithoutAttemptIdIsIgnored() {
        send("a");
        receive(0, response("200 OK", "", "whose", "Server-Seal: s\r\n"));
        assertEquals(results, List.of());
        receive(0, successResponse("a"));
        assertEquals(results, List.of("a 200 of a"));
        receive(0, response("200 OK", "", "whose", "Server-Seal: s\r\n"));
        assertFalse(connections.get(0).isActive(), "unrequested and without an id: the connection is not reused");
    }

    @Test
    public void closeAfterTheRequestWasWrittenIsReportedAsBroken() {
        send("a");
        receive(0, successResponse("a"));
        send("b");
        connections.get(0).close();
        assertEquals(results, List.of("a 200 of a", "b BROKEN"));
        assertEquals(sentRequestCount(), 2, "it is not sent again");
        assertEquals(connections.size(), 1);
    }

    @DataProvider
    public Object[][] responses() {
        String valid = successResponse("a");
        return new Object[][] {
            {"200 without a seal", response("200 OK", "a", "x", ""), "a BROKEN"},
            {"200 encoded", response("200 OK", "a", "x", "Server-Seal: s\r\nContent-Encoding: gzip\r\n"), "a BROKEN"},
            {"503 without Not-Executed", response("503 Full", "a", "", ""), "a BROKEN"},
            {"429 without Not-Executed", response("429 Many", "a", "", ""), "a BROKEN"},
            {"408 without Not-Executed", response("408 Late", "a", "", ""), "a BROKEN"},
            {"503 with Not-Executed", notExecutedResponse("a"), "a TURNED_AWAY"},
            {"421", response("421 Misdirected", "a", "", ""), "a TURNED_AWAY"},
            {"500", response("500 Error", "a", "no", ""), "a 500 no"},
            {"504", response("504 Late", "a", "no", ""), "a 504 no"},
            {
                "informational responses first",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nAttempt-Id: a\r\n\r\n" + valid,
                "a 200 of a"
            },
            {"not HTTP", "ice cream\r\n\r\n", "a BROKEN"},
            {"not HTTP before the response", "ice\r\n" + valid, "a BROKEN"},
            {
                "another transfer coding",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
                        + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nof\r\n0\r\n\r\n",
                "a BROKEN"
            },
            {"two framings", valid.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"), "a BROKEN"
            },
            {"two lengths", valid.replace("Content-Length", "Content-Length: 1\r\nContent-Length"), "a BROKEN"},
            {
                "an invalid chunk",
                "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nof\r\nzz\r\n",
                "a BROKEN"
            },
        };
    }

    @Test(dataProvider = "responses")
    public void responseIsReportedOnce(String name, String bytes, String expected) {
        send("a");
        receive(0, bytes);
        assertEquals(results, List.of(expected), name);
        connections.get(0).close();
        calendar.runUntil(calendar.nowMs() + 2 * TIMEOUT_MS);
        assertEquals(results, List.of(expected), name + ", reported once");
        connections.get(0).checkException();
        assertEquals(sentRequestCount(), 1);
    }

    @Test
    public void truncatedResponseIsReportedAsBroken() {
        String complete = successResponse("a");
        for (int cut = 0; cut < complete.length(); cut++) {
            start();
            send("a");
            receive(0, complete.substring(0, cut));
            connections.get(0).close();
            assertEquals(results, List.of("a BROKEN"), "cut at " + cut);
        }
    }

    @Test
    public void responseWithoutLengthIsCompleteAtCloseButNotAfterAReset() {
        String head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n";
        for (boolean reset : new boolean[] {false, true}) {
            start();
            send("a");
            receive(0, head + "of");
            receive(0, " a");
            assertEquals(results, List.of(), "its end is not known before the close");
            if (reset) {
                connections.get(0).pipeline().fireExceptionCaught(new IOException("Connection reset"));
            }
            connections.get(0).close();
            assertEquals(results, List.of(reset ? "a BROKEN" : "a 200 of a"));
        }
    }

    @Test
    public void responseWithoutLengthOfAnotherAttemptIsIgnored() {
        send("a");
        receive(0, "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nServer-Seal: s\r\n\r\nof z");
        connections.get(0).close();
        assertEquals(results, List.of("a BROKEN"));
    }

    @Test
    public void connectionHeaderCannotRemoveSealAndAttemptId() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.add("Connection", "close, Server-Seal, Attempt-Id, X-Hop")
                .add("Server-Seal", "s")
                .add("Attempt-Id", "a")
                .add("X-Hop", "1");
        assertEquals(ForwardedHeaders.copyForwardable(headers, false), List.of("Server-Seal", "s", "Attempt-Id", "a"));
    }

    @Test
    public void timedOutRequestIsReportedAsLateAndItsResponseIgnored() {
        send("a");
        receive(0, successResponse("a").substring(0, 20));
        calendar.runUntil(TIMEOUT_MS);
        assertEquals(results, List.of());
        calendar.runUntil(TIMEOUT_MS + 100);
        assertEquals(results, List.of("a LATE"));
        assertFalse(connections.get(0).isActive());
        send("b");
        assertEquals(connections.size(), 2);
        receive(1, successResponse("b"));
        assertEquals(results, List.of("a LATE", "b 200 of b"));
    }

    @Test
    public void failedConnectIsReportedAsUnreached() {
        connectsAtOnce = false;
        send("a");
        connectPromises.get(0).setFailure(new ConnectException("refused"));
        assertEquals(results, List.of("a UNREACHED"));
        assertEquals(sentRequestCount(), 0);
    }

    @Test
    public void connectTimeCountsAgainstTheDeadline() {
        connectsAtOnce = false;
        send("a");
        send("b");
        calendar.runUntil(400);
        connectPromises.get(0).setSuccess();
        String sent = sentText(0);
        assertTrue(sent.contains("Deadline-Ms: 585"), sent);
        calendar.runUntil(TIMEOUT_MS);
        connectPromises.get(1).setSuccess();
        assertEquals(results, List.of("b UNREACHED"), "its deadline has passed, so it is not sent");
        assertEquals(sentText(1), "");
        send("c");
        assertEquals(connections.size(), 2, "the connection is reused");
        calendar.runUntil(TIMEOUT_MS + 20);
        assertEquals(results, List.of("b UNREACHED", "a LATE"));
    }

    @Test
    public void cancelWhileRunningClosesTheConnection() {
        EndpointConnections.SentRequest sentRequest = send("a");
        sentRequest.cancel(true);
        assertFalse(connections.get(0).isActive());
        assertEquals(results, List.of("a BROKEN"));
        sentRequest.cancel(true);
        assertEquals(results, List.of("a BROKEN"));
    }

    @Test
    public void cancelWithoutWhileRunningLetsTheRequestFinish() {
        EndpointConnections.SentRequest sentRequest = send("a");
        sentRequest.cancel(false);
        receive(0, successResponse("a"));
        assertEquals(results, List.of("a 200 of a"));
    }

    @Test
    public void requestCancelledWhileConnectingIsNotWritten() {
        for (boolean whileRunning : new boolean[] {true, false}) {
            start();
            connectsAtOnce = false;
            EndpointConnections.SentRequest sentRequest = send("a");
            sentRequest.cancel(whileRunning);
            connectPromises.get(0).setSuccess();
            assertEquals(results, List.of("a UNREACHED"));
            assertEquals(sentText(0), "");
            send("b");
            receive(0, successResponse("b"));
            assertEquals(results, List.of("a UNREACHED", "b 200 of b"), "the connection is reused");
        }
    }

    @Test
    public void cancelAfterTheResponseDoesNotAffectTheNextRequest() {
        EndpointConnections.SentRequest sentRequest = send("a");
        receive(0, successResponse("a"));
        sentRequest.cancel(true);
        send("b");
        sentRequest.cancel(true);
        receive(0, successResponse("b"));
        assertEquals(results, List.of("a 200 of a", "b 200 of b"));
    }

    @Test
    public void connectionIsNotReusedAfterConnect() {
        send("a", "CONNECT");
        receive(0, successResponse("a"));
        send("b");
        assertEquals(connections.size(), results.isEmpty() ? 1 : 2);
        receive(connections.size() - 1, successResponse("b"));
        assertTrue(results.contains("b 200 of b"), results.toString());
    }

    @Test
    public void responseToHeadDoesNotShiftTheNextResponse() {
        send("a", "HEAD");
        receive(0, successResponse("z"));
        receive(0, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\n");
        calendar.runUntil(TIMEOUT_MS + 100);
        assertEquals(results.size(), 1);
        assertTrue(results.get(0).startsWith("a "), results.toString());
        send("b");
        receive(connections.size() - 1, successResponse("b"));
        assertEquals(results.get(1), "b 200 of b");
    }
}
