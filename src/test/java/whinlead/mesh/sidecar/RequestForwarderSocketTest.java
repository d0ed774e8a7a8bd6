package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.mesh.wire.PeerMessage;
import whinlead.mesh.wire.PeerMessageCodec;

/** Requests over real connections to a simulated remote sidecar. */
public class RequestForwarderSocketTest {
    private static final int WAIT_MS = 10_000;

    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private RequestForwarder round;

    @BeforeMethod
    public void start() throws IOException {
        results.clear();
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = loops.next();
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MS);
        round = round();
    }

    private RequestForwarder round() {
        return new RequestForwarder(
                loop,
                "here",
                (request, body, done) -> {},
                new PeerMessage.Hello("here", false),
                node -> server.getLocalSocketAddress(),
                () -> {});
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    /** One connection, on the side of the remote sidecar. */
    private static final class Peer implements AutoCloseable {
        private final Socket socket;

        private Peer(ServerSocket server) throws IOException {
            socket = server.accept();
            socket.setSoTimeout(WAIT_MS);
        }

        private PeerMessage.ForwardRequest request() throws IOException {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            while (true) {
                PeerMessage message = PeerMessageCodec.read(input.readNBytes(input.readInt()));
                if (message instanceof PeerMessage.ForwardRequest request) {
                    return request;
                } else if (message instanceof PeerMessage.Ping ping) {
                    send(new PeerMessage.Pong(ping.number(), "far", -1));
                }
            }
        }

        private void send(PeerMessage message) throws IOException {
            byte[] encoded = PeerMessageCodec.write(message);
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(encoded.length);
            output.write(encoded);
            output.flush();
        }

        private void answer(long stream, int status) throws IOException {
            send(new PeerMessage.ForwardResponse(stream, status, List.of(), new byte[0], 0, 0));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void send(String attemptId) {
        RequestForwarder currentForwarder = round;
        loop.execute(() -> currentForwarder.send(
                "there",
                new PeerMessage.ForwardRequest(
                        0, "POST", "/x", List.of("Attempt-Id", attemptId), new byte[0], WAIT_MS, "svc", "i-1", 0),
                false,
                message -> results.add(attemptId + " " + describe(message))));
    }

    private static String describe(PeerMessage message) {
        return message instanceof PeerMessage.ForwardResponse response
                ? Integer.toString(response.status())
                : ((PeerMessage.ForwardFailure) message).reason().toString();
    }

    private String nextResult() throws InterruptedException {
        String result = results.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(result, "result reported in time");
        return result;
    }

    @Test
    public void requestOnALostConnectionIsNotResentAndItsLateAnswerIsIgnored() throws Exception {
        send("a");
        long lost;
        try (Peer first = new Peer(server)) {
            lost = first.request().stream();
        }
        assertEquals(nextResult(), "a BROKEN");
        send("b");
        try (Peer second = new Peer(server)) {
            PeerMessage.ForwardRequest b = second.request();
            assertEquals(b.headers().get(1), "b", "nothing from the lost connection precedes it");
            second.answer(lost, 201);
            second.answer(b.stream(), 200);
            second.answer(b.stream(), 202);
            assertEquals(nextResult(), "b 200");
            send("c");
            second.answer(second.request().stream(), 203);
            assertEquals(nextResult(), "c 203");
        }
    }

    @Test
    public void forwardersWithEqualStreamNumbersGetTheirOwnAnswers() throws Exception {
        send("a");
        try (Peer former = new Peer(server)) {
            PeerMessage.ForwardRequest a = former.request();
            round = round();
            send("b");
            try (Peer latter = new Peer(server)) {
                PeerMessage.ForwardRequest b = latter.request();
                assertEquals(b.stream(), a.stream());
                former.answer(a.stream(), 201);
                assertEquals(nextResult(), "a 201");
                latter.answer(b.stream(), 202);
                assertEquals(nextResult(), "b 202");
            }
        }
    }

    @Test
    public void stampedPingPrecedesTheFirstRequestAndUsesTheSameClock() throws Exception {
        send("a");
        try (Peer peer = new Peer(server)) {
            DataInputStream input = new DataInputStream(peer.socket.getInputStream());
            assertEquals(
                    PeerMessageCodec.read(input.readNBytes(input.readInt())), new PeerMessage.Hello("here", false));
            PeerMessage.Ping ping = (PeerMessage.Ping) PeerMessageCodec.read(input.readNBytes(input.readInt()));
            PeerMessage.ForwardRequest a =
                    (PeerMessage.ForwardRequest) PeerMessageCodec.read(input.readNBytes(input.readInt()));
            assertNotEquals(ping.sentAt(), PeerMessage.UNSTAMPED);
            long differenceMicros = a.sentAt() - ping.sentAt();
            assertTrue(
                    differenceMicros >= 0 && differenceMicros < WAIT_MS * 1000L,
                    "both stamped by the same clock: " + differenceMicros);
        }
    }

    @Test
    public void answersOutOfOrderReachTheirRequests() throws Exception {
        send("a");
        send("b");
        try (Peer peer = new Peer(server)) {
            PeerMessage.ForwardRequest a = peer.request();
            PeerMessage.ForwardRequest b = peer.request();
            peer.answer(b.stream(), 202);
            peer.answer(a.stream(), 201);
            assertEquals(nextResult(), "b 202");
            assertEquals(nextResult(), "a 201");
        }
    }
}
