package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Timers;
import whinlead.mesh.config.MeshConfig;
import whinlead.plan.Calendar;

/** One client's connection, byte by byte: which requests are handled, and when their responses are sent. */
public class ClientConnectionTest {
    private static final int MAX_PENDING = 16;
    private static final String HOST = "Host: h\r\n";
    private static final double TIMEOUT_MS = 2000;
    private static final double IDLE_MS = 15_000;

    private final class RecordingHandler implements ClientConnection.RequestHandler {
        @Override
        public void handle(HttpRequest head, RequestBody body, PendingResponse response) {
            handledUris.add(head.uri());
            responses.add(response);
            response.onClientDisconnect(() -> disconnectedRequests++);
        }

        @Override
        public MeshConfig.Limits limits() {
            return new MeshConfig.Limits(16384, 100, 3, 15);
        }

        @Override
        public boolean tryReserve(int bytes) {
            if (reservedBytes + bytes > maxReservedBytes) {
                return false;
            }
            reservedBytes += bytes;
            return true;
        }

        @Override
        public void release(int bytes) {
            reservedBytes -= bytes;
        }

        @Override
        public boolean shuttingDown() {
            return shuttingDown;
        }

        @Override
        public double timeoutMs(HttpRequest head) {
            return TIMEOUT_MS;
        }

        @Override
        public Timers timers() {
            return calendar;
        }
    }

    private Calendar calendar;
    private ClientConnection connection;
    private List<String> handledUris;
    private List<PendingResponse> responses;
    private EmbeddedChannel channel;
    private int reservedBytes;
    private int maxReservedBytes;
    private int disconnectedRequests;
    private boolean shuttingDown;

    @BeforeMethod
    public void connect() {
        calendar = new Calendar();
        handledUris = new ArrayList<>();
        responses = new ArrayList<>();
        reservedBytes = 0;
        maxReservedBytes = 1000;
        disconnectedRequests = 0;
        shuttingDown = false;
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                connection = new ClientConnection(new RecordingHandler());
                connection.addTo(ch);
            }
        });
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\n" + HOST + "\r\n";
    }

    private static String post(String path, String headers, int length, String body) {
        return "POST " + path + " HTTP/1.1\r\n" + HOST + headers + "Content-Length: " + length + "\r\n\r\n" + body;
    }

    private void respond(int responseIndex, String body) {
        responses.get(responseIndex).send(HttpResponseStatus.OK, List.of(), body.getBytes(StandardCharsets.US_ASCII));
        channel.runPendingTasks();
    }

    private String sentText() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
        return text.toString();
    }

    @Test
    public void responsesAreSentInTheOrderOfTheRequests() {
        receive(get("/a") + get("/b") + get("/c"));
        respond(2, "of c");
        respond(1, "of b");
        assertEquals(sentText(), "");
        respond(0, "of a");
        respond(0, "again");
        assertTrue(sentText().matches("(?s).*\r\n\r\nof aHTTP/1.1 200.*\r\n\r\nof bHTTP/1.1 200.*\r\n\r\nof c"));
    }

    @Test
    public void pendingRequestsAreLimited() {
        receive(get("/a").repeat(MAX_PENDING * 3));
        assertEquals(handledUris.size(), MAX_PENDING);
        for (int i = 0; i < MAX_PENDING * 3; i++) {
            respond(i, "");
        }
        assertEquals(handledUris.size(), MAX_PENDING * 3);
        assertEquals(sentText().split("HTTP/1.1 200", -1).length - 1, MAX_PENDING * 3);
    }

    @Test
    public void continueIsSentAfterEarlierResponses() {
        receive(get("/a") + post("/b", "Expect: 100-continue\r\n", 2, ""));
        assertEquals(sentText(), "");
        respond(0, "of a");
        assertTrue(sentText().matches("(?s)HTTP/1.1 200.*of aHTTP/1.1 100 .*"));
        receive("xx" + "HEAD /c HTTP/1.1\r\n" + HOST + "\r\n");
        respond(1, "of b");
        respond(2, "");
        String sent = sentText();
        assertTrue(sent.contains("of bHTTP/1.1 200"), sent);
    }

    @Test
    public void requestRejectedInItsBodyIsNotHandledNorAnyAfterIt() {
        receive(get("/a") + post("/b", "", 20, "x".repeat(10)));
        assertEquals(reservedBytes, 10);
        maxReservedBytes = 5;
        receive("x".repeat(10) + get("/c"));
        assertEquals(sentText(), "");
        respond(0, "of a");
        assertTrue(sentText().matches("(?s)HTTP/1.1 200.*of aHTTP/1.1 503.*onnection: close.*"));
        assertEquals(handledUris, List.of("/a"));
        assertEquals(reservedBytes, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void connectionIsClosedAfterItsIdleTime() {
        for (int i = 0; i < 3; i++) {
            receive(get("/a"));
            respond(i, "");
            calendar.runUntil(calendar.nowMs() + IDLE_MS * 4 / 5);
            connection.tick();
            assertTrue(channel.isActive());
        }
        calendar.runUntil(calendar.nowMs() + IDLE_MS / 5 + 1);
        connection.tick();
        assertFalse(channel.isActive());
    }

    @Test
    public void slowBodyIsRejectedAtItsTimeout() {
        receive(post("/a", "", 50, ""));
        for (int ms = 100; ms < TIMEOUT_MS; ms += 100) {
            calendar.runUntil(ms);
            receive("x");
        }
        assertEquals(sentText(), "");
        calendar.runUntil(TIMEOUT_MS);
        assertTrue(sentText().matches("(?s)HTTP/1.1 408.*onnection: close.*"));
        assertEquals(handledUris, List.of());
        assertEquals(reservedBytes, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void readDurationIsCountedForEachRequest() {
        receive(post("/a", "", 2, "x"));
        calendar.runUntil(TIMEOUT_MS - 500);
        receive("x" + post("/b", "", 2, ""));
        assertEquals(responses.get(0).readDurationMs(), TIMEOUT_MS - 500);
        calendar.runUntil(2 * TIMEOUT_MS - 501);
        receive("xx");
        assertEquals(responses.get(1).readDurationMs(), TIMEOUT_MS - 1);
        calendar.runUntil(4 * TIMEOUT_MS);
        assertTrue(channel.isActive());
    }

    @Test
    public void requestWithInvalidChunkIsNotHandled() {
        receive("POST /a HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n2\r\nxx\r\nzz\r\n" + get("/b"));
        assertTrue(sentText().startsWith("HTTP/1.1 400"));
        assertEquals(handledUris, List.of());
        assertEquals(reservedBytes, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void requestsAfterConnectionCloseAreNotHandled() {
        receive(get("/a") + "GET /b HTTP/1.1\r\nConnection: close\r\n" + HOST + "\r\n" + get("/c"));
        receive(get("/d"));
        respond(1, "of b");
        assertTrue(channel.isActive());
        respond(0, "of a");
        assertEquals(handledUris, List.of("/a", "/b"));
        assertTrue(sentText().matches("(?s).*of aHTTP/1.1 200.*onnection: close.*of b"));
        assertFalse(channel.isActive());
    }

    @Test
    public void shutdownClosesAfterTheLastPendingResponse() {
        receive(get("/a") + get("/b"));
        shuttingDown = true;
        respond(0, "of a");
        assertFalse(sentText().contains("close"), "a handled request is still pending");
        respond(1, "of b");
        assertTrue(sentText().matches("(?s).*onnection: close.*of b"));
        assertFalse(channel.isActive());
    }

    @Test
    public void disconnectReleasesReservedBytes() {
        receive(post("/a", "", 10, "x".repeat(10)) + post("/b", "", 10, "x".repeat(10)) + post("/c", "", 9, "x"));
        assertEquals(reservedBytes, 21);
        respond(1, "of b");
        channel.close();
        assertEquals(disconnectedRequests, 1);
        assertEquals(reservedBytes, 0);
        respond(0, "of a");
        assertEquals(reservedBytes, 0);
        assertEquals(sentText(), "");
        channel.checkException();
    }
}
