package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.ProtocolVersion;
import whinlead.mesh.wire.ReconnectingConnection;
import whinlead.plan.Calendar;

/**
 * Requests with long bodies to another sidecar: no more of a body is sent than the other side has granted credit for.
 */
public class StreamedRequestTest {
    private static final int TIMEOUT_MS = 1000;
    private static final int MAX_PART_BYTES = 64 << 10;
    private static final PeerMessage PONG = new PeerMessage.Pong(1, "there", -1);

    /** A path whose state and version the test sets. */
    private final class RecordingPath extends ScriptedPath {
        private RecordingPath(PeerPath.Listener listener) {
            super(listener);
        }

        @Override
        public boolean send(PeerMessage message) {
            sent.add(message);
            return true;
        }

        @Override
        public int version() {
            return version;
        }
    }

    private Calendar calendar;
    private RecordingPath path;
    private int version;
    private RequestForwarder forwarder;
    private List<PeerMessage> sent;
    private List<PeerMessage> results;
    private int released;

    @BeforeMethod
    public void start() {
        calendar = new Calendar();
        version = ProtocolVersion.BODY_PARTS;
        sent = new ArrayList<>();
        results = new ArrayList<>();
        released = 0;
        forwarder = new RequestForwarder(
                calendar,
                Runnable::run,
                "here",
                (request, body, done) -> {},
                (node, listener) -> path = new RecordingPath(listener),
                () -> {});
    }

    private BodyStream body(long length) {
        return new BodyStream(length, new BodyStream.Producer() {
            @Override
            public void opened() {}

            @Override
            public void released(int bytes) {
                released += bytes;
            }
        });
    }

    private RequestForwarder.SentRequest send(BodyStream body) {
        PeerMessage.ForwardRequest draft = new PeerMessage.ForwardRequest(
                0, "POST", "/x", List.of("Attempt-Id", "a"), new byte[0], TIMEOUT_MS, "svc", "i-1", 0);
        return forwarder.send("there", draft, body, false, () -> true, results::add);
    }

    private RequestForwarder.SentRequest sendConnected(BodyStream body) {
        RequestForwarder.SentRequest request = send(body);
        path.changeState(ReconnectingConnection.State.UP);
        path.listener.messageReceived(PONG);
        return request;
    }

    private PeerMessage.FailureReason failure() {
        assertEquals(results.size(), 1);
        return ((PeerMessage.ForwardFailure) results.get(0)).reason();
    }

    private void grant(int bytes) {
        path.listener.messageReceived(new PeerMessage.BodyCredit(1, bytes));
    }

    private int partBytes() {
        return sent.stream()
                .filter(PeerMessage.BodyPart.class::isInstance)
                .mapToInt(message -> ((PeerMessage.BodyPart) message).bytes().length)
                .sum();
    }

    @Test
    public void bodyIsSentInPartsAsCreditIsGranted() {
        BodyStream body = body(300_000);
        body.append(new byte[200_000], false);
        sendConnected(body);
        assertEquals(sent.size(), 1, "only the head is sent without credit");
        assertEquals(((PeerMessage.ForwardRequestHead) sent.get(0)).bodyBytes(), 300_000);
        assertFalse(body.isTaken(), "it can still be sent to another endpoint");
        grant(150_000);
        assertEquals(partBytes(), 150_000);
        assertEquals(released, 150_000);
        grant(100_000);
        assertEquals(partBytes(), 200_000, "all that has arrived");
        body.append(new byte[100_000], true);
        assertEquals(partBytes(), 250_000);
        grant(50_000);
        assertEquals(partBytes(), 300_000);
        for (PeerMessage message : sent.subList(1, sent.size())) {
            assertTrue(((PeerMessage.BodyPart) message).bytes().length <= MAX_PART_BYTES);
        }
        assertTrue(((PeerMessage.BodyPart) sent.get(sent.size() - 1)).last());
        path.listener.messageReceived(new PeerMessage.ForwardResponse(1, 200, List.of(), new byte[0], 0, 0));
        assertEquals(results.size(), 1);
    }

    @Test
    public void nothingMoreIsSentOnceTheRequestHasEnded() {
        BodyStream body = body(300_000);
        body.append(new byte[200_000], false);
        RequestForwarder.SentRequest request = sendConnected(body);
        grant(100_000);
        assertTrue(request.abort(), "part of it was written");
        assertEquals(sent.get(sent.size() - 1), new PeerMessage.Cancel(1, false), "its endpoint need not wait");
        int sentBefore = sent.size();
        request.cancel();
        body.append(new byte[100_000], true);
        grant(200_000);
        assertEquals(sent.size(), sentBefore);
        assertEquals(results, List.of());
    }

    // Regression: a sidecar of an earlier version ignores the messages, and the request would wait until its deadline.
    @Test
    public void sidecarOfAnEarlierVersionIsSentNothing() {
        version = ProtocolVersion.KEYS;
        BodyStream body = body(300_000);
        body.append(new byte[200_000], false);
        sendConnected(body);
        assertEquals(sent, List.of());
        assertEquals(failure(), PeerMessage.FailureReason.UNSUPPORTED);
        assertTrue(failure().neverRan);
        assertFalse(body.isTaken());
    }

    @Test
    public void versionOfANewConnectionIsAwaited() {
        send(body(300_000));
        path.changeState(ReconnectingConnection.State.UP);
        assertEquals(sent, List.of(), "the other side's version is not known yet");
        path.changeState(ReconnectingConnection.State.DOWN);
        assertEquals(failure(), PeerMessage.FailureReason.UNREACHED, "it was not written");
        results.clear();
        send(body(300_000));
        path.changeState(ReconnectingConnection.State.UP);
        assertEquals(sent, List.of(), "the other side may have another version by now");
        path.listener.messageReceived(PONG);
        assertEquals(sent.size(), 1);
    }
}
