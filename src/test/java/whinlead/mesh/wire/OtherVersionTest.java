package whinlead.mesh.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import whinlead.mesh.consensus.Acceptor;
import whinlead.mesh.consensus.Ballot;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.consensus.Message;
import whinlead.mesh.registry.EndpointRecord;

/** PeerMessageCodec of the protocol before versions, and of a later one, beside this program's; both ways. */
public class OtherVersionTest {
    private static final int WAIT_MS = 10_000;
    private static final byte HELLO = 1;
    private static final byte POST = 2;
    private static final byte PING = 7;
    private static final byte PAPER = 9;
    private static final byte REQUEST = 10;
    private static final byte RETURNED = 12;
    private static final byte QUERY = 8;
    private static final byte LATER_KIND = 99;

    private EventLoopGroup loops;
    private Channel server;

    /** Writes the fields of a message, as a program of another version does. */
    private interface FieldCodec {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private static byte[] bytes(byte tag, FieldCodec fields) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packByte(tag);
            fields.write(packer);
            return packer.toByteArray();
        }
    }

    private static byte[] hello(int newest, int oldest) throws IOException {
        return bytes(
                HELLO, p -> p.packString("n").packBoolean(false).packInt(newest).packInt(oldest));
    }

    private static byte[] unversionedHello() throws IOException {
        return bytes(HELLO, p -> p.packString("n").packBoolean(false));
    }

    private static void record(MessageBufferPacker p, String node, int phase) throws IOException {
        p.packString(node)
                .packLong(1)
                .packLong(2)
                .packString("z")
                .packString("i")
                .packString("s");
        p.packInt(phase).packInt(6).packInt(5);
    }

    @Test
    public void aGreetingWithoutVersionsIsReadAndOursIsReadByItsSender() throws IOException {
        assertEquals(
                PeerMessageCodec.read(unversionedHello()),
                new PeerMessage.Hello("n", false, ProtocolVersion.NONE_NAMED));
        // The reader of the program before versions: it takes these fields and looks no further.
        try (MessageUnpacker u =
                MessagePack.newDefaultUnpacker(PeerMessageCodec.write(new PeerMessage.Hello("n", true)))) {
            assertEquals(u.unpackByte(), HELLO);
            assertEquals(u.unpackString(), "n");
            assertTrue(u.unpackBoolean());
        }
    }

    @Test
    public void theLowerOfBothNewestVersionsIsSpoken() {
        ProtocolVersion later = new ProtocolVersion(9, 2);
        assertEquals(ProtocolVersion.OURS.agreedWith(later), ProtocolVersion.OURS.newest());
        assertEquals(later.agreedWith(ProtocolVersion.OURS), ProtocolVersion.OURS.newest());
        assertEquals(ProtocolVersion.OURS.agreedWith(ProtocolVersion.NONE_NAMED), ProtocolVersion.UNVERSIONED);
        assertFalse(later.sharesOneWith(ProtocolVersion.NONE_NAMED));
        assertFalse(ProtocolVersion.NONE_NAMED.sharesOneWith(later));
        assertThrows(IllegalArgumentException.class, () -> new ProtocolVersion(1, 2));
    }

    @Test
    public void kindsOfALaterVersionAreNamedAndNoError() throws IOException {
        assertEquals(
                PeerMessageCodec.read(bytes(LATER_KIND, p -> p.packString("x"))),
                new PeerMessage.Unknown("message 99"));
        assertEquals(
                PeerMessageCodec.read(bytes(PAPER, p -> p.packByte(LATER_KIND).packLong(1))),
                new PeerMessage.Unknown("ballot message 99"));
    }

    @Test
    public void fieldsOfALaterVersionArePassedOver() throws IOException {
        // Each with all the fields that this version knows; what follows them is unknown.
        for (PeerMessage message : List.of(
                new PeerMessage.Hello("n", true),
                new PeerMessage.Subscribe(3),
                new PeerMessage.FetchConfig(),
                new PeerMessage.Ping(4, 5),
                new PeerMessage.Pong(4, "n", 5),
                new PeerMessage.Cancel(6, true),
                new PeerMessage.Consensus(new Message.Query(1, 2, List.of("n"))),
                new PeerMessage.ForwardFailure(7, PeerMessage.FailureReason.LATE, 0.5, 2))) {
            assertEquals(PeerMessageCodec.read(followedBy(PeerMessageCodec.write(message), "later")), message);
        }
    }

    @Test
    public void fieldsThatAFormerVersionDoesNotSendHaveTheirDefaults() throws IOException {
        assertEquals(
                PeerMessageCodec.read(bytes(PING, p -> p.packLong(4))), new PeerMessage.Ping(4, PeerMessage.UNSTAMPED));
        assertEquals(
                PeerMessageCodec.read(
                        bytes(PAPER, p -> p.packByte(QUERY).packLong(1).packLong(2))),
                new PeerMessage.Consensus(new Message.Query(1, 2, List.of())));
    }

    private static byte[] followedBy(byte[] message, String field) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(message);
            packer.packString(field);
            return packer.toByteArray();
        }
    }

    @Test
    public void valuesOfALaterVersionHaveStatedDefaults() throws IOException {
        byte[] post = bytes(POST, p -> {
            p.packInt(2);
            record(p, "a", 7);
            record(p, "b", EndpointRecord.Phase.DRAINING.ordinal());
        });
        assertEquals(
                PeerMessageCodec.read(post),
                new PeerMessage.EndpointUpdate(
                        List.of(new EndpointRecord("b", 1, 2, "z", "i", "s", EndpointRecord.Phase.DRAINING, 6, 5))),
                "a's is passed over");
        byte[] returned =
                bytes(RETURNED, p -> p.packLong(3).packInt(77).packDouble(0).packDouble(0));
        PeerMessage.ForwardFailure read = (PeerMessage.ForwardFailure) PeerMessageCodec.read(returned);
        assertFalse(read.why().neverRan, "a reason that is not known promises nothing");
    }

    @Test
    public void whatIsMalformedIsRefusedByTheNameOfItsKind() throws IOException {
        byte[] request = bytes(REQUEST, p -> p.packString("no number"));
        MalformedMessageException refused =
                expectThrows(MalformedMessageException.class, () -> PeerMessageCodec.read(request));
        assertTrue(refused.getMessage().contains("FORWARD_REQUEST"), refused.getMessage());
        assertThrows(MalformedMessageException.class, () -> PeerMessageCodec.read(hello(1, 2)));
    }

    // What the program before formats writes, as it stands in its file.
    private static byte[] memory(int... formats) throws IOException {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            p.packLong(7).packLong(12).packBinaryHeader(2).writePayload(new byte[] {1, 2});
            p.packInt(1).packLong(12).packString("digest").packInt(1).packString("10.0.0.1#0");
            p.packLong(3).packString("10.0.0.1#0").packNil();
            for (int format : formats) {
                p.packInt(format);
            }
            return p.toByteArray();
        }
    }

    @Test
    public void memoriesOfOtherFormatsAreReadUnlessTheyForbidIt() throws IOException {
        Acceptor.State read = AcceptorRecord.read(memory());
        assertEquals(
                read,
                new Acceptor.State(
                        new Decision(
                                7,
                                12,
                                new byte[] {1, 2},
                                List.of(new Decision.Taken(12, "digest")),
                                List.of("10.0.0.1#0")),
                        new Ballot(3, "10.0.0.1#0"),
                        null));
        byte[] ours = AcceptorRecord.write(read);
        byte[] before = memory();
        assertEquals(Arrays.copyOf(ours, before.length), before, "ours begins as theirs, who read no further");
        assertEquals(AcceptorRecord.read(memory(9, 1, 4, 5)), read);
        LaterFormatException refused =
                expectThrows(LaterFormatException.class, () -> AcceptorRecord.read(memory(9, 8)));
        assertTrue(
                refused.getMessage().contains("of format 9 needs a program that knows format 8"), refused.getMessage());
    }

    /** Answers to greetings and pings, as control nodes and sidecars do. */
    private static final class Responder implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection link) {}

        @Override
        public void message(PeerConnection link, PeerMessage message) {
            if (message instanceof PeerMessage.Hello hello) {
                link.peer(hello.id());
            } else if (message instanceof PeerMessage.Ping ping) {
                link.send(new PeerMessage.Pong(ping.number(), "version " + link.version(), -1));
            }
        }

        @Override
        public void disconnected(PeerConnection link) {}
    }

    @BeforeClass
    public void listen() throws InterruptedException {
        loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(PeerConnection.handlers(new Responder()))
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
    }

    @AfterClass(alwaysRun = true)
    public void end() throws InterruptedException {
        loops.shutdownGracefully(0, WAIT_MS, TimeUnit.MILLISECONDS).sync();
    }

    /** A peer of another version: it says these messages, then asks for a sign of life. */
    private PeerMessage answerAfter(byte[]... messages) throws IOException {
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(WAIT_MS);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (byte[] message : messages) {
                say(out, message);
            }
            say(out, PeerMessageCodec.write(new PeerMessage.Ping(4)));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            return PeerMessageCodec.read(in.readNBytes(in.readInt()));
        }
    }

    // The ping behind these may be unread when the other side closes: then the end is a reset. Silence until
    // the wait is over is neither.
    private void assertEnds(byte[]... messages) {
        IOException end = expectThrows(IOException.class, () -> answerAfter(messages));
        assertTrue(end instanceof EOFException || end instanceof SocketException, end.toString());
    }

    private static void say(DataOutputStream out, byte[] message) throws IOException {
        out.writeInt(message.length);
        out.write(message);
        out.flush();
    }

    @Test
    public void connectionsOutlastWhatIsNotKnown() throws IOException {
        byte[] laterKind = bytes(LATER_KIND, p -> p.packString("x"));
        byte[] laterPaper = bytes(PAPER, p -> p.packByte(LATER_KIND).packLong(1));
        byte[] malformedPing = bytes(PING, p -> p.packString("no number"));
        assertEquals(
                answerAfter(unversionedHello(), laterKind, laterPaper, malformedPing),
                new PeerMessage.Pong(4, "version 1", -1));
        assertEquals(
                answerAfter(hello(9, 1), laterKind),
                new PeerMessage.Pong(4, "version " + ProtocolVersion.OURS.newest(), -1));
    }

    @Test
    public void whatNobodyWouldRepeatEndsTheConnectionIfMalformed() throws IOException {
        byte[] request = bytes(REQUEST, p -> p.packString("no number"));
        assertEnds(unversionedHello(), request);
    }

    @Test
    public void aPeerWithWhichNoVersionIsSharedIsRefused() throws IOException {
        int later = ProtocolVersion.OURS.newest() + 1;
        assertEnds(hello(later, later));
    }

    @Test
    public void whatIsPassedOverIsLoggedABoundedNumberOfTimes() {
        VersionEvents events = new VersionEvents();
        events.passedOver("the same thing");
        events.passedOver("the same thing");
        assertEquals(events.logged(), 1);
        for (int i = 0; i < 2 * VersionEvents.MAX_LOGGED; i++) {
            events.passedOver("thing " + i);
        }
        assertEquals(events.logged(), VersionEvents.MAX_LOGGED);
    }
}
