package whinlead.mesh.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.testbed.mesh.Talk;

/** Calls over sockets: each gets one response, in the order of the calls of its connection. */
public class RpcServerTest {
    private static final String READ = "POST /whinlead/rpc?call=config.read HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    private static final String UNKNOWN_CALL = READ.replace("config.read", "config.none");
    private static final long WAIT_S = 10;

    private final BlockingQueue<Consumer<RpcResponse>> pendingCalls = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private Channel listener;

    @BeforeMethod
    public void listen() throws Exception {
        pendingCalls.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listener = new RpcServer(loops.next(), new ObjectMapper(), (call, respond) -> pendingCalls.add(respond))
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        loops.shutdownGracefully(0, WAIT_S, TimeUnit.SECONDS).sync();
    }

    private Talk connectAndSend(String text) throws Exception {
        Talk talk = new Talk(
                new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort()));
        talk.raw(text.getBytes(StandardCharsets.ISO_8859_1));
        return talk;
    }

    private Consumer<RpcResponse> nextCall() throws InterruptedException {
        Consumer<RpcResponse> respond = pendingCalls.poll(WAIT_S, TimeUnit.SECONDS);
        assertNotNull(respond, "no call was run");
        return respond;
    }

    private static RpcResponse response(String text) {
        return new RpcResponse(200, text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void responsesAreSentInTheOrderOfTheCalls() throws Exception {
        try (Talk talk = connectAndSend(READ + UNKNOWN_CALL + READ)) {
            Consumer<RpcResponse> first = nextCall();
            nextCall().accept(response("third"));
            first.accept(response("first"));
            assertEquals(talk.hear().text(), "first");
            assertEquals(talk.hear().status(), 404);
            assertEquals(talk.hear().text(), "third");
        }
    }

    @Test
    public void responseIsSentOnceFromAnyThread() throws Exception {
        try (Talk talk = connectAndSend(READ + READ)) {
            Consumer<RpcResponse> first = nextCall();
            Consumer<RpcResponse> second = nextCall();
            first.accept(response("first"));
            first.accept(response("again"));
            loops.next().execute(() -> second.accept(response("second")));
            assertEquals(talk.hear().text(), "first");
            assertEquals(talk.hear().text(), "second");
            talk.raw(UNKNOWN_CALL.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(talk.hear().status(), 404, "no second response to the first call");
        }
    }

    @Test
    public void connectionCloseTakesEffectAfterEarlierResponses() throws Exception {
        String last = READ.replace("Content-Length", "Connection: close\r\nContent-Length");
        try (Talk talk = connectAndSend(READ + last + READ)) {
            Consumer<RpcResponse> first = nextCall();
            nextCall().accept(response("last"));
            first.accept(response("first"));
            assertEquals(talk.hear().text(), "first");
            Talk.Message second = talk.hear();
            assertEquals(second.text(), "last");
            assertEquals(second.headers().get("connection"), "close");
            assertNull(talk.hear());
        }
        assertTrue(pendingCalls.isEmpty(), "calls after the last one must not be run");
    }

    @Test
    public void unreadableCallClosesTheConnectionAfterEarlierResponses() throws Exception {
        try (Talk talk = connectAndSend(READ + "no call at all\r\n\r\n" + READ)) {
            nextCall().accept(response("first"));
            assertEquals(talk.hear().text(), "first");
            Talk.Message second = talk.hear();
            assertEquals(second.status(), 400);
            assertEquals(second.headers().get("connection"), "close");
            assertNull(talk.hear());
        }
        assertTrue(pendingCalls.isEmpty(), "calls after an unreadable one must not be run");
    }

    @Test
    public void brokenConnectionDropsItsResponsesOnly() throws Exception {
        Consumer<RpcResponse> lostCall;
        try (Talk talk = connectAndSend(READ)) {
            lostCall = nextCall();
        }
        try (Talk talk = connectAndSend(READ)) {
            Consumer<RpcResponse> openCall = nextCall();
            lostCall.accept(response("lost"));
            openCall.accept(response("here"));
            assertEquals(talk.hear().text(), "here");
        }
        assertEquals(
                Talk.ask(
                                "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort(),
                                "POST /none",
                                Map.of(),
                                new byte[0])
                        .status(),
                404);
    }
}
