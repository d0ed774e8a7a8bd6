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

/**
 * Messages between this program and programs of an earlier version without version numbers or of a later one, in both
 * directions.
 */
public class OtherVersionTest {
    private static final int WAIT_MS = 10_000;
    private static final byte HELLO = 1;
    private static final byte ENDPOINT_UPDATE = 2;
    private static final byte PING = 7;
    private static final byte CONSENSUS = 9;
    private static final byte FORWARD_REQUEST = 10;
    private static final byte FORWARD_FAILURE = 12;
    private static final byte QUERY = 8;
    private static final byte LATER_KIND = 99;

    private EventLoopGroup loops;
    private Channel server;

    /** Encodes the fields of a message as a program of another version does. */
    private interface FieldWriter {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private static byte[] encode(byte tag, FieldWriter fields) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packByte(tag);
            fields.write(packer);
            return packer.toByteArray();
        }
    }

    private static byte[] hello(int newest, int oldest) throws IOException {
        return encode(
                HELLO, p -> p.packString("n").packBoolean(false).packInt(newest).packInt(oldest));
    }

    private static byte[] unversionedHello() throws IOException {
        return encode(HELLO, p -> p.packString("n").packBoolean(false));
    }

    private static void writeRecord(MessageBufferPacker packer, String node, int phase) throws IOException {
        packer.packString(node)
                .packLong(1)
                .packLong(2)
                .packString("z")
                .packString("i")
                .packString("s");
        packer.packInt(phase).packInt(6).packInt(5);
    }

    @Test
    public void greetingsAreReadableBetweenVersionedAndUnversionedPrograms() throws IOException {
        assertEquals(
                PeerMessageCodec.read(unversionedHello()), new PeerMessage.Hello("n", false, ProtocolVersion.UNNAMED));
        // A program of the version before version numbers reads these fields only.
        try (MessageUnpacker unpacker =
                MessagePack.newDefaultUnpacker(PeerMessageCodec.write(new PeerMessage.Hello("n", true)))) {
            assertEquals(unpacker.unpackByte(), HELLO);
            assertEquals(unpacker.unpackString(), "n");
            assertTrue(unpacker.unpackBoolean());
        }
    }

    @Test
    public void lowerOfBothNewestVersionsIsNegotiated() {
        ProtocolVersion later = new ProtocolVersion(9, 2);
        assertEquals(ProtocolVersion.SUPPORTED.negotiate(later), ProtocolVersion.SUPPORTED.newest());
        assertEquals(later.negotiate(ProtocolVersion.SUPPORTED), ProtocolVersion.SUPPORTED.newest());
        assertEquals(ProtocolVersion.SUPPORTED.negotiate(ProtocolVersion.UNNAMED), ProtocolVersion.UNVERSIONED);
        assertFalse(later.overlaps(ProtocolVersion.UNNAMED));
        assertFalse(ProtocolVersion.UNNAMED.overlaps(later));
        assertThrows(IllegalArgumentException.class, () -> new ProtocolVersion(1, 2));
    }

    @Test
    public void kindsOfALaterVersionAreReadAsUnknown() throws IOException {
        assertEquals(
                PeerMessageCodec.read(encode(LATER_KIND, p -> p.packString("x"))),
                new PeerMessage.Unknown("message 99"));
        assertEquals(
                PeerMessageCodec.read(
                        encode(CONSENSUS, p -> p.packByte(LATER_KIND).packLong(1))),
                new PeerMessage.Unknown("consensus message 99"));
    }

    @Test
    public void fieldsOfALaterVersionAreIgnored() throws IOException {
        // Each message has all fields that this version knows; the field after them is unknown.
        for (PeerMessage message : List.of(
                new PeerMessage.Hello("n", true),
                new PeerMessage.Subscribe(3),
                new PeerMessage.FetchConfig(),
                new PeerMessage.Ping(4, 5),
                new PeerMessage.Pong(4, "n", 5),
                new PeerMessage.Cancel(6, true),
                new PeerMessage.Consensus(new Message.Query(1, 2, List.of("n"))),
                new PeerMessage.ForwardFailure(7, PeerMessage.FailureReason.LATE, 0.5, 2))) {
            assertEquals(PeerMessageCodec.read(withExtraField(PeerMessageCodec.write(message), "later")), message);
        }
    }

    @Test
    public void fieldsMissingInAnEarlierVersionHaveDefaults() throws IOException {
        assertEquals(
                PeerMessageCodec.read(encode(PING, p -> p.packLong(4))),
                new PeerMessage.Ping(4, PeerMessage.UNSTAMPED));
        assertEquals(
                PeerMessageCodec.read(
                        encode(CONSENSUS, p -> p.packByte(QUERY).packLong(1).packLong(2))),
                new PeerMessage.Consensus(new Message.Query(1, 2, List.of())));
    }

    private static byte[] withExtraField(byte[] message, String field) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(message);
            packer.packString(field);
            return packer.toByteArray();
        }
    }

    @Test
    public void unknownValuesOfALaterVersionHaveDefaults() throws IOException {
        byte[] endpointUpdate = encode(ENDPOINT_UPDATE, p -> {
            p.packInt(2);
            writeRecord(p, "a", 7);
            writeRecord(p, "b", EndpointRecord.Phase.DRAINING.ordinal());
        });
        assertEquals(
                PeerMessageCodec.read(endpointUpdate),
                new PeerMessage.EndpointUpdate(
                        List.of(new EndpointRecord("b", 1, 2, "z", "i", "s", EndpointRecord.Phase.DRAINING, 6, 5))),
                "the record of node a is ignored");
        byte[] forwardFailure = encode(
                FORWARD_FAILURE, p -> p.packLong(3).packInt(77).packDouble(0).packDouble(0));
        PeerMessage.ForwardFailure read = (PeerMessage.ForwardFailure) PeerMessageCodec.read(forwardFailure);
        assertFalse(read.reason().neverRan, "a request may have run if the reason is unknown");
    }

    @Test
    public void malformedMessageIsRejectedWithItsKind() throws IOException {
        byte[] request = encode(FORWARD_REQUEST, p -> p.packString("no number"));
        MalformedMessageException refused =
                expectThrows(MalformedMessageException.class, () -> PeerMessageCodec.read(request));
        assertTrue(refused.getMessage().contains("FORWARD_REQUEST"), refused.getMessage());
        assertThrows(MalformedMessageException.class, () -> PeerMessageCodec.read(hello(1, 2)));
    }

    // The record on disk as written by a program of the version before format numbers.
    private static byte[] acceptorRecord(int... formats) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(7).packLong(12).packBinaryHeader(2).writePayload(new byte[] {1, 2});
            packer.packInt(1).packLong(12).packString("digest").packInt(1).packString("10.0.0.1#0");
            packer.packLong(3).packString("10.0.0.1#0").packNil();
            for (int format : formats) {
                packer.packInt(format);
            }
            return packer.toByteArray();
        }
    }

    @Test
    public void acceptorRecordsOfOtherFormatsAreReadUnlessTheyRequireALaterOne() throws IOException {
        Acceptor.State read = AcceptorRecord.read(acceptorRecord());
        assertEquals(
                read,
                new Acceptor.State(
                        new Decision(
                                7,
                                12,
                                new byte[] {1, 2},
                                List.of(new Decision.AppliedVersion(12, "digest")),
                                List.of("10.0.0.1#0")),
                        new Ballot(3, "10.0.0.1#0"),
                        null));
        byte[] currentFormat = AcceptorRecord.write(read);
        byte[] unnumberedFormat = acceptorRecord();
        assertEquals(
                Arrays.copyOf(currentFormat, unnumberedFormat.length),
                unnumberedFormat,
                "the new format starts with the fields of the old one");
        assertEquals(AcceptorRecord.read(acceptorRecord(9, 1, 4, 5)), read);
        LaterFormatException refused =
                expectThrows(LaterFormatException.class, () -> AcceptorRecord.read(acceptorRecord(9, 8)));
        assertTrue(
                refused.getMessage().contains("of format 9 needs a program that knows format 8"), refused.getMessage());
    }

    /** Answers greetings and pings as control nodes and sidecars do. */
    private static final class Responder implements PeerConnection.MessageHandler {
        @Override
        public void connected(PeerConnection connection) {}

        @Override
        public void message(PeerConnection connection, PeerMessage message) {
            if (message instanceof PeerMessage.Hello hello) {
                connection.peer(hello.id());
            } else if (message instanceof PeerMessage.Ping ping) {
                connection.send(new PeerMessage.Pong(ping.number(), "version " + connection.version(), -1));
            }
        }

        @Override
        public void disconnected(PeerConnection connection) {}
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

    /** Acts as a peer of another version that sends these messages and then a ping; returns the answer. */
    private PeerMessage pongAfter(byte[]... messages) throws IOException {
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(WAIT_MS);
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            for (byte[] message : messages) {
                send(output, message);
            }
            send(output, PeerMessageCodec.write(new PeerMessage.Ping(4)));
            DataInputStream input = new DataInputStream(socket.getInputStream());
            return PeerMessageCodec.read(input.readNBytes(input.readInt()));
        }
    }

    // The ping after these messages may be unread when the other side closes the connection; then the read ends with a
    // reset. A time-out is neither an end of stream nor a reset and fails the test.
    private void assertConnectionEnds(byte[]... messages) {
        IOException exception = expectThrows(IOException.class, () -> pongAfter(messages));
        assertTrue(exception instanceof EOFException || exception instanceof SocketException, exception.toString());
    }

    private static void send(DataOutputStream output, byte[] message) throws IOException {
        output.writeInt(message.length);
        output.write(message);
        output.flush();
    }

    @Test
    public void connectionsSurviveUnknownAndRepeatedMalformedMessages() throws IOException {
        byte[] laterKind = encode(LATER_KIND, p -> p.packString("x"));
        byte[] laterConsensusKind =
                encode(CONSENSUS, p -> p.packByte(LATER_KIND).packLong(1));
        byte[] malformedPing = encode(PING, p -> p.packString("no number"));
        assertEquals(
                pongAfter(unversionedHello(), laterKind, laterConsensusKind, malformedPing),
                new PeerMessage.Pong(4, "version 1", -1));
        assertEquals(
                pongAfter(hello(9, 1), laterKind),
                new PeerMessage.Pong(4, "version " + ProtocolVersion.SUPPORTED.newest(), -1));
    }

    @Test
    public void malformedMessageThatIsNotRepeatedEndsTheConnection() throws IOException {
        byte[] request = encode(FORWARD_REQUEST, p -> p.packString("no number"));
        assertConnectionEnds(unversionedHello(), request);
    }

    @Test
    public void peerWithoutACommonVersionIsRejected() throws IOException {
        int later = ProtocolVersion.SUPPORTED.newest() + 1;
        assertConnectionEnds(hello(later, later));
    }

    @Test
    public void ignoredDetailsAreLoggedOnceUpToALimit() {
        VersionEvents events = new VersionEvents();
        events.logIgnored("the same thing");
        events.logIgnored("the same thing");
        assertEquals(events.logged(), 1);
        for (int i = 0; i < 2 * VersionEvents.MAX_LOGGED; i++) {
            events.logIgnored("thing " + i);
        }
        assertEquals(events.logged(), VersionEvents.MAX_LOGGED);
    }
}
