package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.plan.Calendar;

/** Responses of the endpoint with large heads. */
public class EndpointResponseHeadTest {
    private final List<PeerMessage> results = new ArrayList<>();

    private void exchange(int headerBytes) {
        results.clear();
        EmbeddedChannel[] channel = {null};
        EndpointConnections connections = new EndpointConnections(new Calendar(), handlers -> {
            channel[0] = new EmbeddedChannel(handlers);
            return channel[0].newPromise().setSuccess();
        });
        connections.send(
                new PeerMessage.ForwardRequest(
                        1, "GET", "/x", List.of("Host", "h", "Attempt-Id", "a"), new byte[0], 1000, "svc", "i-1", 0),
                "i-1",
                results::add);
        String response = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nX: " + "x".repeat(headerBytes)
                + "\r\nContent-Length: 0\r\n\r\n";
        channel[0].writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
    }

    // Regression: a response with more than 8 KiB of headers was taken for a broken one after its request had run.
    @Test
    public void responseMayHaveAsLargeAHeadAsARequest() {
        exchange(15_000);
        assertEquals(((PeerMessage.ForwardResponse) results.get(0)).status(), 200);
        exchange(17_000);
        assertEquals(((PeerMessage.ForwardFailure) results.get(0)).reason(), PeerMessage.FailureReason.BROKEN);
    }
}
