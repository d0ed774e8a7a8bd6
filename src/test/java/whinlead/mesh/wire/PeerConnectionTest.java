package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** One connection between two processes: a message that can't be sent or handled leaves the others alone. */
public class PeerConnectionTest {
    private EmbeddedChannel channel;
    private PeerConnection connection;
    private List<PeerMessage> received;

    @BeforeMethod
    public void connect() {
        received = new ArrayList<>();
        channel = new EmbeddedChannel(PeerConnection.handlers(new PeerConnection.MessageHandler() {
            @Override
            public void connected(PeerConnection newConnection) {
                connection = newConnection;
            }

            @Override
            public void message(PeerConnection source, PeerMessage message) {
                received.add(message);
            }

            @Override
            public void disconnected(PeerConnection closedConnection) {}
        }));
    }

    private static PeerMessage response(int bodyBytes) {
        return new PeerMessage.ForwardResponse(1, 200, List.of(), new byte[bodyBytes], 0, 0);
    }

    // Regression: the other side closed the connection, and all requests on it were broken off.
    @Test
    public void messageThatIsTooLongIsNotSent() {
        assertFalse(connection.trySend(response(PeerConnection.MAX_MESSAGE_BYTES)));
        assertNull(channel.readOutbound());
        assertTrue(connection.trySend(response(PeerConnection.MAX_MESSAGE_BYTES - 1000)));
        assertNotNull(channel.readOutbound());
        assertTrue(channel.isActive());
        assertEquals(received, List.of());
    }
}
