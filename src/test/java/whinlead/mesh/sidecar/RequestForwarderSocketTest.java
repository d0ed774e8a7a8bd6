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

/** Requests over real connections to a peer that plays the far sidecar. */
public class RequestForwarderSocketTest {
    private static final int WAIT_MS = 10_000;

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private EventLoopGroup loops;
    private EventLoop loop;
    private ServerSocket server;
    private RequestForwarder round;

    @BeforeMethod
    public void start() throws IOException {
        told.clear();
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
                (request, done) -> {},
                new PeerMessage.Hello("here", false),
                node -> server.getLocalSocketAddress(),
                () -> {});
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    /** One connection at the peer. */
    private static final class Peer implements AutoCloseable {
        private final Socket socket;

        private Peer(ServerSocket server) throws IOException {
            socket = server.accept();
            socket.setSoTimeout(WAIT_MS);
        }

        private PeerMessage.ForwardRequest request() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                PeerMessage message = PeerMessageCodec.read(in.readNBytes(in.readInt()));
                if (message instanceof PeerMessage.ForwardRequest request) {
                    return request;
                } else if (message instanceof PeerMessage.Ping ping) {
                    say(new PeerMessage.Pong(ping.number(), "far", -1));
                }
            }
        }

        private void say(PeerMessage message) throws IOException {
            byte[] written = PeerMessageCodec.write(message);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(written.length);
            out.write(written);
            out.flush();
        }

        private void answer(long stream, int status) throws IOException {
            say(new PeerMessage.ForwardResponse(stream, status, List.of(), new byte[0], 0, 0));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void send(String id) {
        RequestForwarder from = round;
        loop.execute(() -> from.send(
                "there",
                new PeerMessage.ForwardRequest(
                        0, "POST", "/x", List.of("Attempt-Id", id), new byte[0], WAIT_MS, "svc", "i-1", 0),
                false,
                message -> told.add(id + " " + what(message))));
    }

    private static String what(PeerMessage message) {
        return message instanceof PeerMessage.ForwardResponse d
                ? Integer.toString(d.status())
                : ((PeerMessage.ForwardFailure) message).why().toString();
    }

    private String next() throws InterruptedException {
        String what = told.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(what, "told in time");
        return what;
    }

    @Test
    public void whatWasOutOnALostConnectionIsNotSentAgainAndItsAnswerIsNobodys() throws Exception {
        send("a");
        long lost;
        try (Peer first = new Peer(server)) {
            lost = first.request().stream();
        }
        assertEquals(next(), "a BROKEN");
        send("b");
        try (Peer second = new Peer(server)) {
            PeerMessage.ForwardRequest b = second.request();
            assertEquals(b.headers().get(1), "b", "nothing of the lost connection comes before it");
            second.answer(lost, 201);
            second.answer(b.stream(), 200);
            second.answer(b.stream(), 202);
            assertEquals(next(), "b 200");
            send("c");
            second.answer(second.request().stream(), 203);
            assertEquals(next(), "c 203");
        }
    }

    @Test
    public void livesThatGiveTheSameNumbersGetTheirOwnAnswers() throws Exception {
        send("a");
        try (Peer former = new Peer(server)) {
            PeerMessage.ForwardRequest a = former.request();
            round = round();
            send("b");
            try (Peer latter = new Peer(server)) {
                PeerMessage.ForwardRequest b = latter.request();
                assertEquals(b.stream(), a.stream());
                former.answer(a.stream(), 201);
                assertEquals(next(), "a 201");
                latter.answer(b.stream(), 202);
                assertEquals(next(), "b 202");
            }
        }
    }

    @Test
    public void aStampedPingComesAheadOfTheFirstRequestAndByItsClock() throws Exception {
        send("a");
        try (Peer peer = new Peer(server)) {
            DataInputStream in = new DataInputStream(peer.socket.getInputStream());
            assertEquals(PeerMessageCodec.read(in.readNBytes(in.readInt())), new PeerMessage.Hello("here", false));
            PeerMessage.Ping ping = (PeerMessage.Ping) PeerMessageCodec.read(in.readNBytes(in.readInt()));
            PeerMessage.ForwardRequest a =
                    (PeerMessage.ForwardRequest) PeerMessageCodec.read(in.readNBytes(in.readInt()));
            assertNotEquals(ping.sentAt(), PeerMessage.UNSTAMPED);
            long apart = a.sentAt() - ping.sentAt();
            assertTrue(apart >= 0 && apart < WAIT_MS * 1000L, "by one clock: " + apart);
        }
    }

    @Test
    public void answersInAnyOrderFindTheirCallers() throws Exception {
        send("a");
        send("b");
        try (Peer peer = new Peer(server)) {
            PeerMessage.ForwardRequest a = peer.request();
            PeerMessage.ForwardRequest b = peer.request();
            peer.answer(b.stream(), 202);
            peer.answer(a.stream(), 201);
            assertEquals(next(), "b 202");
            assertEquals(next(), "a 201");
        }
    }
}
