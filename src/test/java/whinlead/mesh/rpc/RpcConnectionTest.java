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

/** One caller's connection, byte by byte: how much is under way, and what goes out before what. */
public class RpcConnectionTest {
    private static final String HEAD = "POST /whinlead/rpc?call=config.read HTTP/1.1\r\n";
    private static final String READ = HEAD + "Content-Length: 0\r\n\r\n";

    private List<Consumer<RpcResponse>> open;
    private EmbeddedChannel channel;

    @BeforeMethod
    public void connect() {
        open = new ArrayList<>();
        channel = new EmbeddedChannel();
        channel.pipeline()
                .addLast(new RpcServer(channel.eventLoop(), new ObjectMapper(), (order, answer) -> open.add(answer))
                        .handlers());
    }

    private void say(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String heard() {
        StringBuilder all = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            all.append(b.toString(StandardCharsets.ISO_8859_1));
            b.release();
        }
        return all.toString();
    }

    @Test
    public void noMoreAreUnderWayThanTheBound() {
        say(READ.repeat(RpcConnection.MAX_PENDING * 3));
        assertEquals(open.size(), RpcConnection.MAX_PENDING);
        open.get(1).accept(RpcResponse.done());
        assertEquals(open.size(), RpcConnection.MAX_PENDING, "the first is still unanswered");
        open.get(0).accept(RpcResponse.done());
        channel.runPendingTasks();
        assertEquals(open.size(), RpcConnection.MAX_PENDING + 2);
        for (int i = 2; i < open.size(); i++) {
            open.get(i).accept(RpcResponse.done());
            channel.runPendingTasks();
        }
        assertEquals(open.size(), RpcConnection.MAX_PENDING * 3);
        assertEquals(heard().split("HTTP/1.1 200").length - 1, RpcConnection.MAX_PENDING * 3);
    }

    @Test
    public void aGoAheadWaitsForTheAnswersBefore() {
        say(READ + HEAD + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertEquals(heard(), "");
        open.get(0).accept(RpcResponse.done());
        String heard = heard();
        assertTrue(heard.startsWith("HTTP/1.1 200") && heard.contains("HTTP/1.1 100"), heard);
        say("{}");
        assertEquals(open.size(), 2);
    }

    @Test
    public void aBodyThatIsTooLargeIsAnsweredInItsTurn() {
        say(READ + HEAD + "Content-Length: " + (RpcConnection.MAX_BODY_BYTES + 1) + "\r\n\r\n");
        String piece = "x".repeat(1 << 16);
        for (int left = RpcConnection.MAX_BODY_BYTES + 1; left > 0; left -= piece.length()) {
            say(piece.substring(0, Math.min(left, piece.length())));
        }
        say(READ);
        assertEquals(heard(), "");
        assertEquals(open.size(), 2, "the one before and the one behind");
        open.get(1).accept(RpcResponse.done());
        open.get(0).accept(RpcResponse.done());
        String heard = heard();
        assertTrue(heard.matches("(?s)HTTP/1.1 200 .*HTTP/1.1 413 .*HTTP/1.1 200 .*"), heard);
        assertTrue(channel.isActive());
    }

    @Test
    public void oneWhoseConnectionIsGoneIsAnsweredNowhere() {
        say(READ);
        channel.close();
        assertFalse(channel.isActive());
        open.get(0).accept(RpcResponse.done());
        assertEquals(heard(), "");
        channel.checkException();
    }
}
