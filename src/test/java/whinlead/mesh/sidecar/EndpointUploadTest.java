package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.plan.Calendar;

/** Requests to the endpoint whose bodies are passed on while they arrive. */
public class EndpointUploadTest {
    private static final int TIMEOUT_MS = 1000;

    private List<EmbeddedChannel> connections;
    private EndpointConnections endpointConnections;
    private List<String> results;
    private EndpointConnections.SentRequest sentStreamed;

    @BeforeMethod
    public void start() {
        connections = new ArrayList<>();
        results = new ArrayList<>();
        endpointConnections = new EndpointConnections(new Calendar(), this::connect);
    }

    private ChannelPromise connect(ChannelHandler handlers) {
        EmbeddedChannel channel = new EmbeddedChannel(handlers);
        connections.add(channel);
        return channel.newPromise().setSuccess();
    }

    private void receiveSuccess(String attemptId) {
        String response =
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n";
        connections.get(0).writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
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

    private BodyStream sendStreamed(String id, long length) {
        BodyStream body = new BodyStream(length, new BodyStream.Producer() {
            @Override
            public void opened() {}

            @Override
            public void released(int bytes) {}
        });
        PeerMessage.ForwardRequest request = new PeerMessage.ForwardRequest(
                1, "POST", "/x", List.of("Host", "h", "Attempt-Id", id), new byte[0], TIMEOUT_MS, "svc", "i-1", 0);
        sentStreamed = endpointConnections.send(
                request,
                body,
                "i-1",
                message -> results.add(id + " "
                        + (message instanceof PeerMessage.ForwardResponse response
                                ? response.status()
                                : ((PeerMessage.ForwardFailure) message).reason())));
        return body;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Test
    public void streamedBodyIsWrittenAsItArrives() {
        BodyStream body = sendStreamed("a", 6);
        assertTrue(sentText(0).matches("(?s)POST /x .*ontent-length: 6\r\n.*"));
        body.append(ascii("abc"), false);
        assertEquals(sentText(0), "abc");
        body.append(ascii("def"), true);
        assertEquals(sentText(0), "def");
        receiveSuccess("a");
        assertEquals(results, List.of("a 200"));
        sendStreamed("b", 6);
        assertEquals(connections.size(), 1, "the connection is used again");
    }

    @Test
    public void streamedBodyOfUnknownLengthIsChunked() {
        BodyStream body = sendStreamed("a", PeerMessage.UNKNOWN_LENGTH);
        body.append(ascii("abc"), false);
        body.append(new byte[0], true);
        assertTrue(sentText(0).matches("(?s)POST /x .*ransfer-encoding: chunked\r\n.*3\r\nabc\r\n0\r\n\r\n"));
    }

    @Test
    public void connectionIsNotUsedAgainIfTheResponsePrecedesTheEndOfAStreamedBody() {
        BodyStream body = sendStreamed("a", 6);
        body.append(ascii("abc"), false);
        receiveSuccess("a");
        assertEquals(results, List.of("a 200"));
        assertFalse(connections.get(0).isActive());
        sentText(0);
        body.append(ascii("def"), true);
        assertEquals(sentText(0), "");
    }

    // An endpoint must not wait for the rest of a body whose client has left, nor run a part of it.
    @Test
    public void cancellationEndsARequestWhoseBodyIsIncomplete() {
        sendStreamed("a", 6).append(ascii("abc"), false);
        sentStreamed.cancel(false);
        assertEquals(results, List.of("a BROKEN"));
        assertFalse(connections.get(0).isActive());
        BodyStream complete = sendStreamed("b", 3);
        complete.append(ascii("abc"), true);
        sentStreamed.cancel(false);
        assertTrue(connections.get(1).isActive(), "what may be running is not ended");
    }
}
