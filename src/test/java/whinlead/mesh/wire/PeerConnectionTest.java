package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
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
                if (message instanceof PeerMessage.Cancel) {
                    throw new IllegalStateException("planted");
                }
            }

            @Override
            public void disconnected(PeerConnection closedConnection) {}
        }));
    }

    private void receive(PeerMessage message) {
        byte[] encoded = PeerMessageCodec.write(message);
        channel.writeInbound(Unpooled.buffer().writeInt(encoded.length).writeBytes(encoded));
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

    // Regression: an exception in the handling of one message closed the connection that others used.
    @Test
    public void exceptionInTheHandlingOfAMessageLeavesTheConnectionOpen() {
        PeerMessage failing = new PeerMessage.Cancel(1, true);
        PeerMessage next = new PeerMessage.Ping(1);
        receive(failing);
        receive(next);
        assertEquals(received, List.of(failing, next));
        assertTrue(channel.isActive());
    }
}
