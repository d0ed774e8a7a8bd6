package whinlead.mesh.sidecar;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import whinlead.engine.Timers;
import whinlead.mesh.config.MeshConfig;
import whinlead.plan.Calendar;

/** Requests with long bodies on one client's connection: how much of a body is held, and how the connection ends. */
public class LongRequestBodyTest {
    private static final int MIB = 1 << 20;
    private static final int BODY_BYTES = 8 * MIB;
    private static final int MAX_BODY_BYTES = 16 * MIB;
    private static final int READ_BYTES = 64 << 10;
    /** What one read may add to what is held. */
    private static final int HELD_SLACK_BYTES = READ_BYTES;

    private static final double TIMEOUT_MS = 2000;
    private static final double DISCARD_MS = 2000;

    private final class RecordingHandler implements ClientConnection.RequestHandler {
        @Override
        public void handle(HttpRequest head, RequestBody body, PendingResponse response) {
            bodies.add(body);
            responses.add(response);
            response.onClientDisconnect(() -> disconnectedRequests++);
        }

        @Override
        public MeshConfig.Limits limits() {
            return new MeshConfig.Limits(16384, MAX_BODY_BYTES, 3, 15);
        }

        @Override
        public boolean tryReserve(int bytes) {
            return budget.tryReserve(bytes);
        }

        @Override
        public void release(int bytes) {
            budget.release(bytes);
        }

        @Override
        public boolean shuttingDown() {
            return false;
        }

        @Override
        public double timeoutMs(HttpRequest head) {
            return TIMEOUT_MS;
        }

        @Override
        public Timers timers() {
            return calendar;
        }
    }

    private Calendar calendar;
    private BodyBudget budget;
    private List<RequestBody> bodies;
    private List<PendingResponse> responses;
    private int disconnectedRequests;
    private EmbeddedChannel channel;
    private int takenBytes;
    /** Whether writes stay unfinished, as towards a client that does not read. */
    private boolean writesHeld;

    private List<ChannelPromise> heldWrites;

    @BeforeMethod
    public void connect() {
        calendar = new Calendar();
        budget = new BodyBudget();
        bodies = new ArrayList<>();
        responses = new ArrayList<>();
        disconnectedRequests = 0;
        takenBytes = 0;
        writesHeld = false;
        heldWrites = new ArrayList<>();
        channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                ch.pipeline().addLast(new ChannelOutboundHandlerAdapter() {
                    @Override
                    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                        if (writesHeld) {
                            ReferenceCountUtil.release(message);
                            heldWrites.add(promise);
                        } else {
                            ctx.write(message, promise);
                        }
                    }
                });
                new ClientConnection(new RecordingHandler()).addTo(ch);
            }
        });
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private void receiveBytes(int count) {
        for (int received = 0; received < count; received += READ_BYTES) {
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[Math.min(READ_BYTES, count - received)]));
        }
    }

    private void beginUpload(int byteCount) {
        receive("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
        receiveBytes(byteCount);
    }

    private void beginChunkedUpload(int byteCount) {
        receive("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        receive(Integer.toHexString(byteCount) + "\r\n");
        receiveBytes(byteCount);
        receive("\r\n");
    }

    private BodyStream stream() {
        return bodies.get(0).streamOrNull();
    }

    // The consumer's side: takes what has arrived and passes it on.
    private void takeAll() {
        for (BodyStream.Part part = stream().take(MIB);
                part != null;
                part = stream().take(MIB)) {
            takenBytes += part.bytes().length;
            stream().release(part.bytes().length);
        }
    }

    private void respond(HttpResponseStatus status) {
        responses.get(0).send(status, List.of(), new byte[0]);
        channel.runPendingTasks();
    }

    private String sentText() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf buffer = channel.readOutbound(); buffer != null; buffer = channel.readOutbound()) {
            text.append(buffer.toString(StandardCharsets.ISO_8859_1));
            buffer.release();
        }
        return text.toString();
    }

    @Test
    public void bodyThatFitsIsWholeWhenItsRequestIsHandled() {
        receive("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + MIB + "\r\n\r\n");
        receiveBytes(MIB - 1);
        assertEquals(bodies.size(), 0);
        receive("x");
        assertEquals(bodies.get(0).wholeBytes().length, MIB);
    }

    // Regression: a body was held whole, and several long ones exceeded the memory of the process.
    @Test
    public void noMoreOfALongBodyIsReadThanIsPassedOn() {
        beginUpload(2 * MIB);
        assertEquals(bodies.size(), 1, "handled before the body is complete");
        assertEquals(stream().length(), BODY_BYTES);
        int heldBytes = stream().availableBytes();
        assertTrue(heldBytes >= MIB && heldBytes <= MIB + HELD_SLACK_BYTES, "held " + heldBytes);
        assertFalse(channel.config().isAutoRead());
        assertTrue(budget.reservedBytes() <= MIB + HELD_SLACK_BYTES, "reserved " + budget.reservedBytes());
        stream().open(this::takeAll);
        assertEquals(takenBytes, 2 * MIB);
        assertTrue(channel.config().isAutoRead());
        receiveBytes(BODY_BYTES - 2 * MIB);
        assertEquals(takenBytes, BODY_BYTES);
        assertTrue(stream().isFinished());
        respond(HttpResponseStatus.OK);
        assertTrue(sentText().startsWith("HTTP/1.1 200"));
        assertEquals(budget.reservedBytes(), 0);
        receive("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        assertEquals(bodies.size(), 2, "the connection is kept");
    }

    // Regression: a connection that is closed while the client sends is reset, and the client loses the response.
    @Test
    public void restOfTheBodyIsReadAfterAnEarlyResponse() {
        beginUpload(2 * MIB);
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertTrue(sentText().matches("(?s)HTTP/1.1 503.*onnection: close.*"));
        assertTrue(channel.isActive());
        receiveBytes(BODY_BYTES - 2 * MIB - 1);
        assertTrue(channel.isActive());
        receive("x");
        assertFalse(channel.isActive());
        assertEquals(budget.reservedBytes(), 0);
    }

    // Regression: the end of the body closed the connection while an early response was still being written.
    @Test
    public void earlyResponseIsWrittenBeforeTheConnectionIsClosed() {
        writesHeld = true;
        beginUpload(2 * MIB);
        respond(HttpResponseStatus.OK);
        receiveBytes(BODY_BYTES - 2 * MIB);
        calendar.runUntil(2 * DISCARD_MS);
        assertTrue(channel.isActive());
        heldWrites.forEach(ChannelPromise::setSuccess);
        channel.runPendingTasks();
        assertFalse(channel.isActive());
    }

    @Test
    public void restOfTheBodyIsNotAwaitedForLong() {
        beginUpload(2 * MIB);
        respond(HttpResponseStatus.SERVICE_UNAVAILABLE);
        calendar.runUntil(DISCARD_MS - 1);
        assertTrue(channel.isActive());
        calendar.runUntil(DISCARD_MS);
        assertFalse(channel.isActive());
    }

    @Test
    public void clientThatLeavesDuringItsBodyIsReported() {
        beginUpload(2 * MIB);
        channel.close();
        assertEquals(disconnectedRequests, 1);
        assertEquals(budget.reservedBytes(), 0);
    }

    @Test
    public void bodyOfUnknownLengthEndsAtTheLimit() {
        beginChunkedUpload(2 * MIB);
        stream().open(this::takeAll);
        receive(Integer.toHexString(MAX_BODY_BYTES) + "\r\n");
        receiveBytes(MAX_BODY_BYTES);
        assertEquals(disconnectedRequests, 1, "its forwarding is ended");
        assertTrue(sentText().matches("(?s)HTTP/1.1 413.*onnection: close.*"));
        assertFalse(stream().isFinished());
        assertEquals(budget.reservedBytes(), 0);
    }

    @Test
    public void bodyOfUnknownLengthIsPassedOnToItsEnd() {
        beginChunkedUpload(2 * MIB);
        stream().open(this::takeAll);
        receive("0\r\n\r\n");
        assertEquals(takenBytes, 2 * MIB);
        assertTrue(stream().isFinished());
    }
}
