package whinlead.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;

/**
 * A request as endpoints get it, but for the time that an attempt has.
 *
 * @param headers what an endpoint is told, but for the time and the length
 */
public record HttpAsk(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    /** The time that the sender waits, in seconds. */
    public static final AsciiString TIMEOUT = AsciiString.cached("Request-Timeout");
    /** Bytes of a body, of a request or an answer; the platform's are far smaller. */
    public static final int MAX_BODY = 64 * 1024;

    /**
     * The request for one attempt.
     *
     * @param attempt 0 for the first, and so on
     * @param within milliseconds that it has
     */
    public FullHttpRequest attempt(int attempt, double within) {
        // A first attempt may have what was made for it; a later one must not change that under way.
        HttpHeaders own = attempt == 0 ? headers : headers.copy();
        own.set(TIMEOUT, Decimals.seconds(within));
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            own.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body), own, EmptyHttpHeaders.INSTANCE);
    }
}
