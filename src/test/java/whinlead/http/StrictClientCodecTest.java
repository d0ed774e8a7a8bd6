package whinlead.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which responses are decoded, and which are rejected, however the network divides them. */
public class StrictClientCodecTest {
    private static final String BODY = "hello";
    private static final SampleResponses RESPONSES = new SampleResponses("X-First: 1\r\n", BODY);
    private static final String VALID = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

    /** What was decoded, in short. */
    private static final class Decoded {
        private int status;
        private final StringBuilder body = new StringBuilder();
        private int completeCount;
        private int failedCount;
        private boolean failedWhileOpen;
        private boolean decodedBehindFailure;

        private void add(HttpObject message) {
            decodedBehindFailure |= failedCount > 0;
            if (message.decoderResult().isFailure()) {
                failedCount++;
                return;
            }
            if (message instanceof HttpResponse response) {
                status = response.status().code();
            }
            if (message instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (message instanceof LastHttpContent
                    && HttpStatusClass.valueOf(status) != HttpStatusClass.INFORMATIONAL) {
                completeCount++;
            }
        }
    }

    private static EmbeddedChannel channelAfter(HttpMethod... methods) {
        EmbeddedChannel channel = new EmbeddedChannel(new StrictClientCodec());
        for (HttpMethod method : methods) {
            channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x"));
        }
        return channel;
    }

    // The bytes in parts of this size, and the end of the connection.
    private static Decoded decode(EmbeddedChannel channel, String response, int partBytes) {
        byte[] bytes = SampleResponses.bytes(response);
        for (int start = 0; start < bytes.length; start += partBytes) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, start, Math.min(partBytes, bytes.length - start)));
        }
        Decoded decoded = new Decoded();
        addDecoded(channel, decoded);
        decoded.failedWhileOpen = decoded.failedCount > 0;
        channel.finish();
        addDecoded(channel, decoded);
        return decoded;
    }

    private static void addDecoded(EmbeddedChannel channel, Decoded decoded) {
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            decoded.add(message);
        }
    }

    @DataProvider
    public Object[] malformed() {
        return RESPONSES.malformed().keySet().toArray();
    }

    @Test(dataProvider = "malformed")
    public void malformedResponseFailsAndNothingFollowsIt(String name) {
        String response = RESPONSES.malformed().get(name);
        for (int partBytes = 1; partBytes <= response.length(); partBytes++) {
            Decoded decoded = decode(channelAfter(HttpMethod.GET), response + VALID, partBytes);
            assertTrue(decoded.failedWhileOpen, name + " in parts of " + partBytes);
            assertEquals(decoded.failedCount, 1, name + " in parts of " + partBytes);
            assertEquals(decoded.completeCount, 0, name + " in parts of " + partBytes);
            assertFalse(decoded.decodedBehindFailure, name + " in parts of " + partBytes);
        }
    }

    @DataProvider
    public Object[] valid() {
        return RESPONSES.valid().keySet().toArray();
    }

    @Test(dataProvider = "valid")
    public void validResponseIsDecodedHoweverItIsDivided(String name) {
        String response = RESPONSES.valid().get(name);
        for (int partBytes = 1; partBytes <= response.length(); partBytes++) {
            Decoded decoded = decode(channelAfter(HttpMethod.GET), response, partBytes);
            assertEquals(decoded.failedCount, 0, name + " in parts of " + partBytes);
            assertEquals(decoded.completeCount, 1, name + " in parts of " + partBytes);
            assertEquals(decoded.status, Integer.parseInt(name.substring(0, 3)), name);
            assertEquals(decoded.body.toString(), BODY, name);
        }
    }

    @Test
    public void responsesFollowEachOtherOnOneConnection() {
        Decoded decoded = decode(channelAfter(HttpMethod.GET, HttpMethod.GET), VALID + VALID, 1);
        assertEquals(decoded.completeCount, 2);
        assertEquals(decoded.failedCount, 0);
        assertEquals(decoded.body.toString(), BODY + BODY);
    }

    @Test
    public void malformedHeadIsFoundBehindAnEarlierResponse() {
        Decoded decoded = decode(channelAfter(HttpMethod.GET, HttpMethod.GET), VALID + "HTTP/1.1 200 O\0K\r\n\r\n", 1);
        assertEquals(decoded.completeCount, 1);
        assertEquals(decoded.failedCount, 1);
    }

    @Test
    public void emptyLinesBeforeAHeadDoNotHideAControlByteInIt() {
        Decoded decoded =
                decode(channelAfter(HttpMethod.GET), "\r\n\r\nHTTP/1.1 200 O\u0001K\r\nContent-Length: 0\r\n\r\n", 64);
        assertEquals(decoded.failedCount, 1);
        assertEquals(decoded.completeCount, 0);
    }

    @Test
    public void controlBytesMayStandInABody() {
        Decoded decoded =
                decode(channelAfter(HttpMethod.GET), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\0\u0001\r", 1);
        assertEquals(decoded.completeCount, 1);
        assertEquals(decoded.body.toString(), "\0\u0001\r");
    }

    @Test
    public void responsesWithoutABodyEndWithTheirHead() {
        String head = "HTTP/1.1 %s\r\nContent-Length: 5\r\n\r\n";
        String statuses = head.formatted("200 OK") + head.formatted("204 X") + head.formatted("304 X");
        Decoded decoded = decode(channelAfter(HttpMethod.HEAD, HttpMethod.GET, HttpMethod.GET), statuses + VALID, 1);
        assertEquals(decoded.completeCount, 4);
        assertEquals(decoded.body.toString(), BODY);
    }

    @Test
    public void connectionIsUnfinishedOnlyWithinAResponse() {
        StrictClientCodec codec = new StrictClientCodec();
        EmbeddedChannel channel = new EmbeddedChannel(codec);
        byte[] bytes = SampleResponses.bytes(VALID);
        for (int i = 0; i < bytes.length; i++) {
            assertEquals(codec.hasUnfinishedInput(), i > 0, "before byte " + i);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, i, 1));
        }
        assertFalse(codec.hasUnfinishedInput());
        assertTrue(channel.finish());
        channel.releaseInbound();
    }
}
