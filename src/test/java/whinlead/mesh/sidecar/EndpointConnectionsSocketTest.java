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

/**
 * Connections to the endpoint over sockets: closes and resets as the operating system reports them, and bodies larger
 * than its buffers.
 */
public class EndpointConnectionsSocketTest {
    private static final int WAIT_MS = 10_000;
    private static final int LONG_BODY_BYTES = 12 << 20;

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private EndpointConnections endpointConnections;

    @BeforeMethod
    public void start() throws IOException {
        results.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = loops.next();
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MS);
        endpointConnections = new EndpointConnections(loop, server.getLocalSocketAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    private void send(String attemptId, byte[] body) {
        PeerMessage.ForwardRequest request = new PeerMessage.ForwardRequest(
                1, "POST", "/" + attemptId, List.of("Attempt-Id", attemptId), body, WAIT_MS, "svc", "i-1", 0);
        loop.execute(() -> endpointConnections.send(
                request,
                "i-1",
                message -> results.add(attemptId + " "
                        + (message instanceof PeerMessage.ForwardResponse response
                                ? response.status() + " " + response.body().length
                                : ((PeerMessage.ForwardFailure) message).reason()))));
    }

    private String nextResult() throws InterruptedException {
        return results.poll(WAIT_MS, TimeUnit.MILLISECONDS);
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(WAIT_MS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
        return head.toString();
    }

    @Test
    public void responseWithoutLengthIsCompleteAtCloseButNotAfterAReset() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\nwhole";
        send("closed", new byte[0]);
        try (Socket socket = accept()) {
            readHead(socket.getInputStream());
            write(socket, answer.formatted("closed"));
        }
        assertEquals(nextResult(), "closed 200 5");
        send("reset", new byte[0]);
        Socket socket = accept();
        readHead(socket.getInputStream());
        write(socket, answer.formatted("reset"));
        new Talk(socket).reset();
        assertEquals(nextResult(), "reset BROKEN");
    }

    @Test
    public void connectionIsReusedOnlyAfterItsLongBodyIsWritten() throws Exception {
        byte[] body = new byte[LONG_BODY_BYTES];
        new Random(1).nextBytes(body);
        send("long", body);
        Socket first = accept();
        readHead(first.getInputStream());
        write(first, "HTTP/1.1 413 Large\r\nAttempt-Id: long\r\nContent-Length: 0\r\n\r\n");
        assertEquals(nextResult(), "long 413 0");
        // Until the rest is written, the next request uses another connection.
        send("next", new byte[0]);
        Socket second = accept();
        assertTrue(readHead(second.getInputStream()).startsWith("POST /next "));
        write(
                second,
                "HTTP/1.1 200 OK\r\nAttempt-Id: next\r\nServer-Seal: s\r\nConnection: close\r\n"
                        + "Content-Length: 0\r\n\r\n");
        assertEquals(nextResult(), "next 200 0");
        assertEquals(first.getInputStream().readNBytes(LONG_BODY_BYTES), body);
        second.close();
        // Once it is written, the connection is reused.
        loop.submit(() -> {}).get(WAIT_MS, TimeUnit.MILLISECONDS);
        send("last", new byte[0]);
        assertTrue(readHead(first.getInputStream()).startsWith("POST /last "));
        write(first, "HTTP/1.1 200 OK\r\nAttempt-Id: last\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n");
        assertEquals(nextResult(), "last 200 0");
        first.close();
    }
}
