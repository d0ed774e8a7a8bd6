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

/** One client's connection, byte by byte: which requests are taken, and whose answer goes out when. */
public class ClientConnectionTest {
    private static final int UNDER_WAY = 16;
    private static final String HOST = "Host: h\r\n";
    private static final double MAX_MS = 2000;
    private static final double IDLE_MS = 15_000;

    private final class Taking implements ClientConnection.RequestHandler {
        @Override
        public void handle(HttpRequest head, byte[] body, ClientConnection.PendingResponse turn) {
            taken.add(head.uri());
            turns.add(turn);
            turn.onGone(() -> gone++);
        }

        @Override
        public MeshConfig.Limits limits() {
            return new MeshConfig.Limits(16384, 100, 3, 15);
        }

        @Override
        public boolean tryReserve(int bytes) {
            if (held + bytes > holdMost) {
                return false;
            }
            held += bytes;
            return true;
        }

        @Override
        public void release(int bytes) {
            held -= bytes;
        }

        @Override
        public boolean leaving() {
            return leaving;
        }

        @Override
        public double timeoutMs(HttpRequest head) {
            return MAX_MS;
        }

        @Override
        public Timers timers() {
            return calendar;
        }
    }

    private Calendar calendar;
    private ClientConnection window;
    private List<String> taken;
    private List<ClientConnection.PendingResponse> turns;
    private EmbeddedChannel channel;
    private int held;
    private int holdMost;
    private int gone;
    private boolean leaving;

    @BeforeMethod
    public void connect() {
        calendar = new Calendar();
        taken = new ArrayList<>();
        turns = new ArrayList<>();
        held = 0;
        holdMost = 1000;
        gone = 0;
        leaving = false;
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                window = new ClientConnection(new Taking());
                window.on(ch);
            }
        });
    }

    private void say(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\n" + HOST + "\r\n";
    }

    private static String post(String path, String more, int length, String body) {
        return "POST " + path + " HTTP/1.1\r\n" + HOST + more + "Content-Length: " + length + "\r\n\r\n" + body;
    }

    private void answer(int turn, String body) {
        turns.get(turn).send(HttpResponseStatus.OK, List.of(), body.getBytes(StandardCharsets.US_ASCII));
        channel.runPendingTasks();
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
    public void answersGoOutInTheOrderOfTheRequests() {
        say(get("/a") + get("/b") + get("/c"));
        answer(2, "of c");
        answer(1, "of b");
        assertEquals(heard(), "");
        answer(0, "of a");
        answer(0, "again");
        assertTrue(heard().matches("(?s).*\r\n\r\nof aHTTP/1.1 200.*\r\n\r\nof bHTTP/1.1 200.*\r\n\r\nof c"));
    }

    @Test
    public void noMoreAreUnderWayThanTheBound() {
        say(get("/a").repeat(UNDER_WAY * 3));
        assertEquals(taken.size(), UNDER_WAY);
        for (int i = 0; i < UNDER_WAY * 3; i++) {
            answer(i, "");
        }
        assertEquals(taken.size(), UNDER_WAY * 3);
        assertEquals(heard().split("HTTP/1.1 200", -1).length - 1, UNDER_WAY * 3);
    }

    @Test
    public void aGoAheadWaitsForTheAnswersBefore() {
        say(get("/a") + post("/b", "Expect: 100-continue\r\n", 2, ""));
        assertEquals(heard(), "");
        answer(0, "of a");
        assertTrue(heard().matches("(?s)HTTP/1.1 200.*of aHTTP/1.1 100 .*"));
        say("xx" + "HEAD /c HTTP/1.1\r\n" + HOST + "\r\n");
        answer(1, "of b");
        answer(2, "");
        String heard = heard();
        assertTrue(heard.contains("of bHTTP/1.1 200"), heard);
    }

    @Test
    public void whatIsRefusedMidwayIsNotTakenNorWhatComesBehindIt() {
        say(get("/a") + post("/b", "", 20, "x".repeat(10)));
        assertEquals(held, 10);
        holdMost = 5;
        say("x".repeat(10) + get("/c"));
        assertEquals(heard(), "");
        answer(0, "of a");
        assertTrue(heard().matches("(?s)HTTP/1.1 200.*of aHTTP/1.1 503.*onnection: close.*"));
        assertEquals(taken, List.of("/a"));
        assertEquals(held, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void aConnectionIsUsableUntilItsIdleTimeIsOver() {
        for (int i = 0; i < 3; i++) {
            say(get("/a"));
            answer(i, "");
            calendar.runTo(calendar.now() + IDLE_MS * 4 / 5);
            window.tick();
            assertTrue(channel.isActive());
        }
        calendar.runTo(calendar.now() + IDLE_MS / 5 + 1);
        window.tick();
        assertFalse(channel.isActive());
    }

    @Test
    public void aBodyThatDribblesIsRefusedOnceItsTimeIsUp() {
        say(post("/a", "", 50, ""));
        for (int ms = 100; ms < MAX_MS; ms += 100) {
            calendar.runTo(ms);
            say("x");
        }
        assertEquals(heard(), "");
        calendar.runTo(MAX_MS);
        assertTrue(heard().matches("(?s)HTTP/1.1 408.*onnection: close.*"));
        assertEquals(taken, List.of());
        assertEquals(held, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void theTimeThatABodyTookCountsAndTheNextHasItsOwn() {
        say(post("/a", "", 2, "x"));
        calendar.runTo(MAX_MS - 500);
        say("x" + post("/b", "", 2, ""));
        assertEquals(turns.get(0).readingMs(), MAX_MS - 500);
        calendar.runTo(2 * MAX_MS - 501);
        say("xx");
        assertEquals(turns.get(1).readingMs(), MAX_MS - 1);
        calendar.runTo(4 * MAX_MS);
        assertTrue(channel.isActive());
    }

    @Test
    public void whatCannotBeReadMidwayIsNotTaken() {
        say("POST /a HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n2\r\nxx\r\nzz\r\n" + get("/b"));
        assertTrue(heard().startsWith("HTTP/1.1 400"));
        assertEquals(taken, List.of());
        assertEquals(held, 0);
        assertFalse(channel.isActive());
    }

    @Test
    public void whatComesBehindTheLastIsNotTaken() {
        say(get("/a") + "GET /b HTTP/1.1\r\nConnection: close\r\n" + HOST + "\r\n" + get("/c"));
        say(get("/d"));
        answer(1, "of b");
        assertTrue(channel.isActive());
        answer(0, "of a");
        assertEquals(taken, List.of("/a", "/b"));
        assertTrue(heard().matches("(?s).*of aHTTP/1.1 200.*onnection: close.*of b"));
        assertFalse(channel.isActive());
    }

    @Test
    public void whereItLeavesNothingThatWasTakenIsBehindTheEnd() {
        say(get("/a") + get("/b"));
        leaving = true;
        answer(0, "of a");
        assertFalse(heard().contains("close"), "one that was taken comes behind it");
        answer(1, "of b");
        assertTrue(heard().matches("(?s).*onnection: close.*of b"));
        assertFalse(channel.isActive());
    }

    @Test
    public void aClientThatGoesTakesWhatIsHeldForItAlong() {
        say(post("/a", "", 10, "x".repeat(10)) + post("/b", "", 10, "x".repeat(10)) + post("/c", "", 9, "x"));
        assertEquals(held, 21);
        answer(1, "of b");
        channel.close();
        assertEquals(gone, 1);
        assertEquals(held, 0);
        answer(0, "of a");
        assertEquals(held, 0);
        assertEquals(heard(), "");
        channel.checkException();
    }
}
