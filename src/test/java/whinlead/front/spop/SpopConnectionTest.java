package whinlead.front.spop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.consult.Consultations;
import whinlead.consult.Peer;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.front.consult.ConsultRequest;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/** Valid and invalid use of the protocol by HAProxy, without a socket. */
class SpopConnectionTest {
    private final DrivenClock clock = new DrivenClock();
    private final Contract.Settings settings = Settings.of(
            true,
            Settings.type("read", 1, Contract.Effect.SAFE),
            Settings.type("job-submit", 1, Contract.Effect.UNSAFE));
    private Consultations consultations;
    private final Engine engine =
            new Engine(clock, settings, a -> new Decide(settings, 7, a), l -> consultations.update(l), line -> {});
    private final Peer peer = new Peer(false, "");

    SpopConnectionTest() {
        consultations = new Consultations(engine, clock, settings, new Bounds(100, 50, 100, 60_000, 200), line -> {});
        engine.start(
                () -> {},
                new EndpointList(
                        1,
                        true,
                        List.of(new EndpointList.Entry(
                                new Contract.Server("s0", Contract.ServerState.UP, 1, "z", 0, 0),
                                EndpointList.address("127.0.0.1:81")))));
    }

    private EmbeddedChannel channel(boolean room) {
        return new EmbeddedChannel(
                new LengthFieldBasedFrameDecoder(SpopServer.MAX_FRAME + 4, 0, 4, 0, 4),
                new SpopConnection(consultations, new ConsultRequest.Names(settings), peer, room));
    }

    private static ByteBuf hello(String versions, int size, boolean healthcheck) {
        ByteBuf out = SpopFrame.begin(Unpooled.buffer(), SpopFrame.Type.HAPROXY_HELLO, 0, 0);
        if (versions != null) {
            SpopFrame.pair(out, "supported-versions", versions);
        }
        if (size > 0) {
            SpopFrame.pair(out, "max-frame-size", size);
        }
        SpopFrame.pair(out, "capabilities", "pipelining,async");
        if (healthcheck) {
            out.writeByte(11).writeBytes("healthcheck".getBytes()).writeByte(0x11);
        }
        return SpopFrame.end(out);
    }

    private static ByteBuf notify(long stream, String message, Map<String, String> arguments) {
        ByteBuf out = SpopFrame.begin(Unpooled.buffer(), SpopFrame.Type.NOTIFY, stream, 1);
        out.writeByte(message.length()).writeBytes(message.getBytes()).writeByte(arguments.size());
        arguments.forEach((k, v) -> SpopFrame.pair(out, k, v));
        return SpopFrame.end(out);
    }

    private static SpopFrame answer(EmbeddedChannel channel) throws Exception {
        ByteBuf out = channel.readOutbound();
        assertEquals(out.readInt(), out.readableBytes());
        return SpopFrame.read(out);
    }

    private static String text(SpopFrame frame) {
        return frame.payload().toString(StandardCharsets.ISO_8859_1);
    }

    private static void assertDisconnected(EmbeddedChannel channel, SpopFrame.Status status) throws Exception {
        SpopFrame frame = answer(channel);
        assertEquals(SpopFrame.Type.AGENT_DISCONNECT, frame.type());
        assertEquals(Integer.toString(status.code()), frame.pairs().get("status-code"));
        assertFalse(channel.isOpen());
    }

    private EmbeddedChannel greeted() throws Exception {
        EmbeddedChannel c = channel(true);
        c.writeInbound(hello("2.0", 16_380, false));
        SpopFrame f = answer(c);
        assertEquals(SpopFrame.Type.AGENT_HELLO, f.type());
        assertEquals(Map.of("version", "2.0", "max-frame-size", "16380", "capabilities", "pipelining"), f.pairs());
        return c;
    }

    @Test
    void concurrentAsksAreAnsweredOnTheirStreams() throws Exception {
        EmbeddedChannel c = greeted();
        c.writeInbound(Unpooled.wrappedBuffer(
                notify(1, "ask", Map.of("id", "a", "class", "read")),
                notify(2, "ask", Map.of("id", "b", "class", "read", "timeout", "0.5"))));
        SpopFrame first = answer(c);
        assertEquals(SpopFrame.Type.ACK, first.type());
        assertEquals(1, first.stream());
        assertTrue(text(first).contains("send") && text(first).contains("s0"));
        assertEquals(2, answer(c).stream());
        c.writeInbound(notify(1, "outcome", Map.of("id", "a", "attempt", "0", "status", "200")));
        assertTrue(text(answer(c)).contains("served"));
        assertEquals(1, consultations.open());
        c.close();
        clock.runTo(10_000);
        assertEquals(0, consultations.open());
    }

    @Test
    void retryIsNotSentToHaproxy() throws Exception {
        EmbeddedChannel c = greeted();
        c.writeInbound(notify(1, "ask", Map.of("id", "a", "class", "read")));
        answer(c);
        c.writeInbound(notify(1, "outcome", Map.of("id", "a", "attempt", "0", "status", "503", "connected", "-1")));
        assertFalse(text(answer(c)).contains("send"));
        assertEquals(0, consultations.open());
    }

    @Test
    void badMessageGetsAnErrorAndTheConnectionStaysOpen() throws Exception {
        EmbeddedChannel c = greeted();
        c.writeInbound(notify(1, "ask", Map.of("id", "a", "class", "none")));
        assertTrue(text(answer(c)).contains("class 'none' is unknown"));
        c.writeInbound(notify(2, "what", Map.of("id", "a")));
        assertTrue(text(answer(c)).contains("is unknown"));
        c.writeInbound(notify(3, "ask", Map.of("id", "a", "class", "read")));
        assertTrue(text(answer(c)).contains("send"));
    }

    @Test
    void healthcheckGetsAHelloAndIsClosed() throws Exception {
        EmbeddedChannel c = channel(true);
        c.writeInbound(hello("2.0", 16_380, true));
        assertEquals(SpopFrame.Type.AGENT_HELLO, answer(c).type());
        assertFalse(c.isOpen());
    }

    @Test
    void eachProtocolErrorHasItsStatus() throws Exception {
        assertRejected(hello("1.0", 16_380, false), SpopFrame.Status.BAD_VERSION);
        assertRejected(hello(null, 16_380, false), SpopFrame.Status.NO_VERSION);
        assertRejected(hello("2.0", 0, false), SpopFrame.Status.NO_FRAME_SIZE);
        assertRejected(hello("2.0", 100, false), SpopFrame.Status.BAD_FRAME_SIZE);
        assertRejected(notify(1, "ask", Map.of("id", "a")), SpopFrame.Status.INVALID);
        assertRejected(Unpooled.buffer().writeInt(100_000).writeZero(100), SpopFrame.Status.TOO_BIG);
        assertRejected(
                Unpooled.buffer().writeInt(7).writeByte(3).writeInt(0).writeShort(0), SpopFrame.Status.FRAGMENTED);
        assertRejected(Unpooled.buffer().writeInt(7).writeByte(99).writeInt(1).writeShort(0), SpopFrame.Status.INVALID);
        assertRejected(Unpooled.buffer().writeInt(2).writeShort(0x0100), SpopFrame.Status.INVALID);
        EmbeddedChannel full = channel(false);
        full.writeInbound(hello("2.0", 16_380, false));
        assertDisconnected(full, SpopFrame.Status.RESOURCES);
    }

    private void assertRejected(ByteBuf bytes, SpopFrame.Status status) throws Exception {
        EmbeddedChannel c = channel(true);
        c.writeInbound(bytes);
        assertDisconnected(c, status);
    }

    @Test
    void connectionCutWithinAFrameDoesNotAffectOthers() throws Exception {
        EmbeddedChannel cut = greeted();
        ByteBuf whole = notify(1, "ask", Map.of("id", "cut", "class", "read"));
        cut.writeInbound(whole.readRetainedSlice(whole.readableBytes() / 2));
        assertNull(cut.readOutbound());
        cut.close();
        assertEquals(0, consultations.open());
        EmbeddedChannel other = greeted();
        other.writeInbound(notify(1, "ask", Map.of("id", "a", "class", "read")));
        assertTrue(text(answer(other)).contains("send"));
    }

    @Test
    void randomBytesDisconnectAndOpenNothing() throws Exception {
        Random dice = new Random(11);
        for (int i = 0; i < 2000; i++) {
            byte[] bytes = new byte[8 + dice.nextInt(60)];
            dice.nextBytes(bytes);
            EmbeddedChannel c = greeted();
            c.writeInbound(Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes));
            assertTrue(!c.isOpen() || !c.outboundMessages().isEmpty());
            c.finishAndReleaseAll();
        }
        assertEquals(0, consultations.open());
    }
}
