package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;

/**
 * Bodies that arrive from other sidecars: which request each part belongs to, and which requests can't be completed.
 */
public class EndpointRequestsTest {
    private static final int MAX_BYTES = 100;
    private static final Object SENDER = "sender";
    private static final Object OTHER_SENDER = "other sender";

    private EndpointRequests requests;
    private List<String> cancelled;

    @BeforeMethod
    public void create() {
        requests = new EndpointRequests();
        cancelled = new ArrayList<>();
    }

    private BodyStream start(Object sender, long stream) {
        BodyStream body = new BodyStream(PeerMessage.UNKNOWN_LENGTH, new BodyStream.Producer() {
            @Override
            public void opened() {}

            @Override
            public void released(int bytes) {}
        });
        requests.requestStarting(sender, stream);
        requests.bodyExpected(sender, stream, body);
        requests.requestSent(sender, stream, whileRunning -> cancelled.add(sender + " " + stream));
        return body;
    }

    private void receive(Object sender, long stream, int byteCount, boolean last) {
        requests.bodyPartReceived(sender, new PeerMessage.BodyPart(stream, new byte[byteCount], last), MAX_BYTES);
    }

    @Test
    public void partsReachTheirRequest() {
        BodyStream body = start(SENDER, 1);
        BodyStream other = start(OTHER_SENDER, 1);
        receive(SENDER, 1, 60, false);
        receive(OTHER_SENDER, 1, 10, true);
        receive(SENDER, 2, 5, false);
        assertEquals(body.availableBytes(), 60);
        assertEquals(other.availableBytes(), 10);
        requests.requestEnded(SENDER, 1);
        receive(SENDER, 1, 5, false);
        assertEquals(body.availableBytes(), 60, "the request has ended");
        assertEquals(cancelled, List.of());
    }

    @Test
    public void requestWithMoreBytesThanItsCreditIsCancelled() {
        BodyStream body = start(SENDER, 1);
        receive(SENDER, 1, 60, false);
        receive(SENDER, 1, 60, false);
        assertEquals(cancelled, List.of("sender 1"));
        receive(SENDER, 1, 10, true);
        assertEquals(body.availableBytes(), 60);
        assertFalse(body.isFinished());
    }

    @Test
    public void requestsWithIncompleteBodiesAreCancelledWhenTheirSenderIsLost() {
        start(SENDER, 1);
        start(SENDER, 2);
        start(OTHER_SENDER, 3);
        receive(SENDER, 2, 10, true);
        requests.senderDisconnected(SENDER);
        assertEquals(cancelled, List.of("sender 1"));
    }
}
