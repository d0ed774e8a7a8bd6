package whinlead.mesh.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** One caller's connection without sockets: the limit on pending calls and the order of responses. */
public class RpcConnectionTest {
    private static final String HEAD = "POST /whinlead/rpc?call=config.read HTTP/1.1\r\n";
    private static final String READ = HEAD + "Content-Length: 0\r\n\r\n";

    private List<Consumer<RpcResponse>> pendingCalls;
    private EmbeddedChannel channel;

    @BeforeMethod
    public void connect() {
        pendingCalls = new ArrayList<>();
        channel = new EmbeddedChannel();
        channel.pipeline()
                .addLast(new RpcServer(
                                channel.eventLoop(), new ObjectMapper(), (call, respond) -> pendingCalls.add(respond))
                        .handlers());
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String receivedText() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
        return text.toString();
    }

    @Test
    public void pendingCallsAreLimited() {
        send(READ.repeat(RpcConnection.MAX_PENDING * 3));
        assertEquals(pendingCalls.size(), RpcConnection.MAX_PENDING);
        pendingCalls.get(1).accept(RpcResponse.done());
        assertEquals(pendingCalls.size(), RpcConnection.MAX_PENDING, "the first call is still pending");
        pendingCalls.get(0).accept(RpcResponse.done());
        channel.runPendingTasks();
        assertEquals(pendingCalls.size(), RpcConnection.MAX_PENDING + 2);
        for (int i = 2; i < pendingCalls.size(); i++) {
            pendingCalls.get(i).accept(RpcResponse.done());
            channel.runPendingTasks();
        }
        assertEquals(pendingCalls.size(), RpcConnection.MAX_PENDING * 3);
        assertEquals(receivedText().split("HTTP/1.1 200").length - 1, RpcConnection.MAX_PENDING * 3);
    }

    @Test
    public void continueResponseWaitsForEarlierResponses() {
        send(READ + HEAD + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertEquals(receivedText(), "");
        pendingCalls.get(0).accept(RpcResponse.done());
        String received = receivedText();
        assertTrue(received.startsWith("HTTP/1.1 200") && received.contains("HTTP/1.1 100"), received);
        send("{}");
        assertEquals(pendingCalls.size(), 2);
    }

    @Test
    public void errorForATooLargeBodyKeepsTheOrderOfResponses() {
        send(READ + HEAD + "Content-Length: " + (RpcConnection.MAX_BODY_BYTES + 1) + "\r\n\r\n");
        String piece = "x".repeat(1 << 16);
        for (int remaining = RpcConnection.MAX_BODY_BYTES + 1; remaining > 0; remaining -= piece.length()) {
            send(piece.substring(0, Math.min(remaining, piece.length())));
        }
        send(READ);
        assertEquals(receivedText(), "");
        assertEquals(pendingCalls.size(), 2, "the calls before and after the one that is too large");
        pendingCalls.get(1).accept(RpcResponse.done());
        pendingCalls.get(0).accept(RpcResponse.done());
        String received = receivedText();
        assertTrue(received.matches("(?s)HTTP/1.1 200 .*HTTP/1.1 413 .*HTTP/1.1 200 .*"), received);
        assertTrue(channel.isActive());
    }

    @Test
    public void responseAfterTheConnectionHasClosedIsDropped() {
        send(READ);
        channel.close();
        assertFalse(channel.isActive());
        pendingCalls.get(0).accept(RpcResponse.done());
        assertEquals(receivedText(), "");
        channel.checkException();
    }
}
