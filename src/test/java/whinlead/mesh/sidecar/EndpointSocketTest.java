package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.testbed.mesh.Talk;

/** The way to the endpoint over sockets: ends and resets as told by the system, bodies beyond its buffers. */
public class EndpointSocketTest {
    private static final int WAIT_MS = 10_000;
    private static final int LONG_BODY = 12 << 20;

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private EndpointConnections line;

    @BeforeMethod
    public void start() throws IOException {
        told.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = loops.next();
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MS);
        line = new EndpointConnections(loop, server.getLocalSocketAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    private void ask(String id, byte[] body) {
        PeerMessage.ForwardRequest request = new PeerMessage.ForwardRequest(
                1, "POST", "/" + id, List.of("Attempt-Id", id), body, WAIT_MS, "svc", "i-1", 0);
        loop.execute(() -> line.send(
                request,
                "i-1",
                message -> told.add(id + " "
                        + (message instanceof PeerMessage.ForwardResponse d
                                ? d.status() + " " + d.body().length
                                : ((PeerMessage.ForwardFailure) message).why()))));
    }

    private String told() throws InterruptedException {
        return told.poll(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        return head.toString();
    }

    @Test
    public void anAnswerWithoutLengthEndsWithItsConnectionButNotWithAReset() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\nwhole";
        ask("closed", new byte[0]);
        try (Socket socket = accept()) {
            head(socket.getInputStream());
            say(socket, answer.formatted("closed"));
        }
        assertEquals(told(), "closed 200 5");
        ask("reset", new byte[0]);
        Socket socket = accept();
        head(socket.getInputStream());
        say(socket, answer.formatted("reset"));
        new Talk(socket).reset();
        assertEquals(told(), "reset BROKEN");
    }

    @Test
    public void theRestOfALongBodyIsDueBeforeAnythingElse() throws Exception {
        byte[] body = new byte[LONG_BODY];
        new Random(1).nextBytes(body);
        ask("long", body);
        Socket first = accept();
        head(first.getInputStream());
        say(first, "HTTP/1.1 413 Large\r\nAttempt-Id: long\r\nContent-Length: 0\r\n\r\n");
        assertEquals(told(), "long 413 0");
        // While the rest is not out, what comes next goes by another connection.
        ask("next", new byte[0]);
        Socket second = accept();
        assertTrue(head(second.getInputStream()).startsWith("POST /next "));
        say(
                second,
                "HTTP/1.1 200 OK\r\nAttempt-Id: next\r\nServer-Seal: s\r\nConnection: close\r\n"
                        + "Content-Length: 0\r\n\r\n");
        assertEquals(told(), "next 200 0");
        assertEquals(first.getInputStream().readNBytes(LONG_BODY), body);
        second.close();
        // Once it is, the connection serves again.
        loop.submit(() -> {}).get(WAIT_MS, TimeUnit.MILLISECONDS);
        ask("last", new byte[0]);
        assertTrue(head(first.getInputStream()).startsWith("POST /last "));
        say(first, "HTTP/1.1 200 OK\r\nAttempt-Id: last\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n");
        assertEquals(told(), "last 200 0");
        first.close();
    }
}
