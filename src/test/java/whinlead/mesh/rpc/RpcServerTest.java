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

/** Calls over sockets: each is answered once, in the order of the calls of its connection. */
public class RpcServerTest {
    private static final String READ = "POST /whinlead/rpc?call=config.read HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    private static final String NO_CALL = READ.replace("config.read", "config.none");
    private static final long WAIT_S = 10;

    private final BlockingQueue<Consumer<RpcResponse>> open = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private Channel listener;

    @BeforeMethod
    public void listen() throws Exception {
        open.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listener = new RpcServer(loops.next(), new ObjectMapper(), (order, answer) -> open.add(answer))
                .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_S, TimeUnit.SECONDS).sync();
    }

    private Talk talk(String said) throws Exception {
        Talk talk = new Talk(
                new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort()));
        talk.raw(said.getBytes(StandardCharsets.ISO_8859_1));
        return talk;
    }

    private Consumer<RpcResponse> next() throws InterruptedException {
        Consumer<RpcResponse> answer = open.poll(WAIT_S, TimeUnit.SECONDS);
        assertNotNull(answer, "a call was run");
        return answer;
    }

    private static RpcResponse answer(String text) {
        return new RpcResponse(200, text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void answersGoOutInTheOrderOfTheCalls() throws Exception {
        try (Talk talk = talk(READ + NO_CALL + READ)) {
            Consumer<RpcResponse> first = next();
            next().accept(answer("third"));
            first.accept(answer("first"));
            assertEquals(talk.hear().text(), "first");
            assertEquals(talk.hear().status(), 404);
            assertEquals(talk.hear().text(), "third");
        }
    }

    @Test
    public void anAnswerIsSaidOnceAndFromWhicheverThread() throws Exception {
        try (Talk talk = talk(READ + READ)) {
            Consumer<RpcResponse> first = next();
            Consumer<RpcResponse> second = next();
            first.accept(answer("first"));
            first.accept(answer("again"));
            loops.next().execute(() -> second.accept(answer("second")));
            assertEquals(talk.hear().text(), "first");
            assertEquals(talk.hear().text(), "second");
            talk.raw(NO_CALL.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(talk.hear().status(), 404, "and nothing between");
        }
    }

    @Test
    public void oneThatIsTheLastEndsItAfterTheAnswersBefore() throws Exception {
        String last = READ.replace("Content-Length", "Connection: close\r\nContent-Length");
        try (Talk talk = talk(READ + last + READ)) {
            Consumer<RpcResponse> first = next();
            next().accept(answer("last"));
            first.accept(answer("first"));
            assertEquals(talk.hear().text(), "first");
            Talk.Message second = talk.hear();
            assertEquals(second.text(), "last");
            assertEquals(second.headers().get("connection"), "close");
            assertNull(talk.hear());
        }
        assertTrue(open.isEmpty(), "what comes behind it is not run");
    }

    @Test
    public void oneThatCannotBeReadEndsItAfterTheAnswersBefore() throws Exception {
        try (Talk talk = talk(READ + "no call at all\r\n\r\n" + READ)) {
            next().accept(answer("first"));
            assertEquals(talk.hear().text(), "first");
            Talk.Message second = talk.hear();
            assertEquals(second.status(), 400);
            assertEquals(second.headers().get("connection"), "close");
            assertNull(talk.hear());
        }
        assertTrue(open.isEmpty(), "what comes behind it is not run");
    }

    @Test
    public void aConnectionThatBreaksDropsItsAnswersWithoutHarm() throws Exception {
        Consumer<RpcResponse> lost;
        try (Talk talk = talk(READ)) {
            lost = next();
        }
        try (Talk talk = talk(READ)) {
            Consumer<RpcResponse> here = next();
            lost.accept(answer("lost"));
            here.accept(answer("here"));
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
