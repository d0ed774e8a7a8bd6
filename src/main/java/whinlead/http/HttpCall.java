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
 * A request as sent to endpoints, without the timeout of the attempt.
 *
 * @param headers headers for the endpoint, without the timeout and the length
 */
public record HttpCall(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
    /** The time for which the sender waits, in seconds. */
    public static final AsciiString TIMEOUT = AsciiString.cached("Request-Timeout");
    /** Maximum size of a request or response body; the bodies of the platform are far smaller. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /**
     * The request for one attempt.
     *
     * @param attempt number of the attempt, 0 for the first
     * @param withinMs timeout of the attempt in milliseconds
     */
    public FullHttpRequest attempt(int attempt, double withinMs) {
        // The first attempt may use the original headers; a later one must not change headers that are still being
        // sent.
        HttpHeaders attemptHeaders = attempt == 0 ? headers : headers.copy();
        attemptHeaders.set(TIMEOUT, Decimals.seconds(withinMs));
        if (body.length > 0 || method.equals(HttpMethod.POST)) {
            attemptHeaders.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                attemptHeaders,
                EmptyHttpHeaders.INSTANCE);
    }
}
